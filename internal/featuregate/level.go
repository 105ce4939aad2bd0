package featuregate

// Level identifies the set of features that are in force in a deployment. A feature is in force at its own level and at
// all higher ones. Level zero is the behaviour of programs that predate feature levels.
type Level uint32

// Supported is the highest level that this program supports.
const Supported Level = 1

// Constraints is the lowest level at which submitted jobs may have placement constraints (docs/constraints.md). A
// leader that does not support constraints would ignore them and place such a job on any machine.
const Constraints Level = 1

// Features maps each level to the display name of the feature that it introduces.
var Features = map[Level]string{Constraints: "constraints"}

// Member is the announcement that a member makes about itself.
type Member struct {
	Name        string `json:"member"`
	Release     string `json:"release"` // the version of its program
	Supported   Level  `json:"can"`     // the highest level that its program supports
	Incarnation uint64 `json:"life"`    // a random number that changes with each start of the process
}
