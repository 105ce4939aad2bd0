package featuregate

// Level numbers the features of a deployment. A feature is in force from its level on;
// 0 is what programs without levels do.
type Level uint32

// Supported is the highest level that this program supports.
const Supported Level = 1

// Constraints is the level from which on submissions may carry placement constraints
// (docs/constraints.md). A leader that does not know them would place such a job
// anywhere.
const Constraints Level = 1

// Features names the feature that comes with each level, for display.
var Features = map[Level]string{Constraints: "constraints"}

// Member is what a member announces of itself.
type Member struct {
	Name        string `json:"member"`
	Release     string `json:"release"`
	Supported   Level  `json:"can"`  // the highest level that its program supports
	Incarnation uint64 `json:"life"` // random; another one after each start of the process
}
