package wire

// The names of fields and values in the outside protocols. They are published and
// can't change; each has the field's usual term in the name of its constant. This
// file and the tables of values below are the only place that knows them.

// Fields of a job, as users submit it.
const (
	jobID                 = "ref"
	jobClass              = "jobclass"
	jobTeam               = "owner"
	jobShape              = "shape"
	jobPriority           = "rank"
	jobTasks              = "rows"
	jobCPU                = "cores"
	jobGPU                = "cards"
	jobMemory             = "memoryGb"
	jobMachineTypes       = "breeds"
	jobZone               = "field"
	jobSingleZone         = "oneZone"
	jobSpread             = "scatter"
	jobAllowSpot          = "loaners"
	jobImage              = "seed"
	jobImageSize          = "imageGb"
	jobEstimatedRunTime   = "expectS"
	jobCheckpointInterval = "markS"
	jobCheckpointTime     = "storeS"
	jobDeadline           = "dueS"
	jobDependencies       = "awaits"
	jobRules              = "rules"
)

// Fields of the answers to users.
const (
	answerJobID   = "ref"
	answerStatus  = "status"
	answerDone    = "done"
	answerRunning = "running"
	answerError   = "error"
	answerLeader  = "foreman"
)

// Fields of a worker's heartbeat, and of the statuses of its tasks.
const (
	workerName            = "tiller"
	workerAddr            = "addr"
	workerMachineType     = "breed"
	workerZone            = "field"
	workerSpot            = "loaners"
	workerEpoch           = "shift"
	workerSeq             = "tick"
	workerFencingToken    = "baton"
	workerInterruption    = "recallS"
	workerTasks           = "rows"
	workerTask            = "row"
	workerAttempt         = "try"
	workerPhase           = "status"
	workerExitCause       = "cause"
	workerCheckpointed    = "saved"
	workerCommands        = "orders"
	workerCommandOp       = "verb"
	workerStopGracePeriod = "windDownS"
)

// The operations of commands to workers.
const (
	commandLaunch = "launch"
	commandStop   = "stop"
	commandForget = "forget"
)

// Fields of the cloud's messages.
const (
	cloudCatalog          = "breeds"
	cloudTypeName         = "label"
	cloudTypeCPU          = "cores"
	cloudTypeGPU          = "cards"
	cloudTypeMemory       = "memoryGb"
	cloudTypeCache        = "localGb"
	cloudTypeFetchRate    = "fetchGbPerS"
	cloudTypePrice        = "price"
	cloudTypeSpotPrice    = "lowPrice"
	cloudTypeBootTime     = "startupS"
	cloudTypeZones        = "fields"
	cloudProvisioningName = "hire"
	cloudMachineType      = "breed"
	cloudZone             = "field"
	cloudSpot             = "loaners"
	cloudCount            = "number"
	cloudMachines         = "tillers"
	cloudMore             = "more"
	cloudMachineName      = "ref"
	cloudMachineAddr      = "addr"
	cloudMachineStatus    = "status"
	cloudMachineAge       = "heldS"
)

// The statuses of the cloud's machines. A controller uses those of machines that are not running.
const (
	cloudStatusRunning = "running"
	cloudStatusBooting = "starting"
	cloudStatusFailed  = "failed"
)

// Fields of the state service's messages.
const (
	stateConditions = "if"
	stateChanges    = "apply"
	stateKey        = "k"
	stateVersion    = "stamp"
	stateDelete     = "remove"
	statePut        = "write"
	stateValue      = "value"
	stateLease      = "tenancy"
	stateLeaseTTL   = "lifeMs"
	stateRevision   = "epoch"
	stateMore       = "more"
	stateEntries    = "entries"
	stateLog        = "log"
	stateFailed     = "failed"
)

// Fields of the records of jobs. Their names, and those of all records below, are
// stored and can't change either.
const (
	recordSubmittedAt     = "at"
	recordSpec            = "job"
	recordDependencies    = "awaits"
	recordDependencyParts = "parts"
	recordPartsSum        = "sum"
	recordOutcome         = "end"
	recordTaskCount       = "n"
	recordEndedAt         = "at"
	recordChunkTasks      = "tasks"
	recordDoneBits        = "bits"
)

// Fields of the records of machines and of GPU demands.
const (
	recordMachineAddr = "addr"
	recordMachineType = "type"
	recordMachineZone = "zone"
	recordMachineSpot = "spot"
	recordDemandCPU   = "cpu"
	recordDemandGPU   = "gpu"
	recordDemandMem   = "mem"
)

// Fields of the records of leader and members.
const (
	recordFencingToken      = "token"
	recordMember            = "member"
	recordFeatureLevel      = "level"
	recordRaisedBy          = "by"
	recordMemberRelease     = "release"
	recordMemberSupported   = "can"
	recordMemberIncarnation = "life"
	recordBatchIncarnation  = "life"
	recordBatchSeq          = "seq"
	recordBatchPayload      = "text"
)

// Fields of the ledger's records.
const (
	ledgerTeam             = "team"
	ledgerNumber           = "n"
	ledgerSettlements      = "settled"
	ledgerFencingToken     = "token"
	ledgerStart            = "from"
	ledgerEnd              = "to"
	ledgerSettledAt        = "at"
	ledgerUsage            = "use"
	ledgerPrev             = "prev"
	ledgerDecayedUsage     = "decayed"
	ledgerFirst            = "first"
	ledgerLast             = "last"
	ledgerUnit             = "unit"
	ledgerHead             = "head"
	ledgerSum              = "sum"
	ledgerUnsettledLeaders = "without"
)
