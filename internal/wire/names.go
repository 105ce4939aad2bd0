package wire

// This file defines the names of fields and values in the published protocols and in stored records. The names cannot
// change, so each constant gives the conventional term for the name that it holds. Elsewhere published names occur
// only in the tables of values: shapes, priorities, phases, exitCauses and JobState.String.

// Fields of a submitted job.
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

// Fields of the HTTP responses to users, and of the response that directs a worker to the leader.
const (
	responseJobID   = "ref"
	responseStatus  = "status"
	responseDone    = "done"
	responseRunning = "running"
	responseError   = "error"
	responseLeader  = "foreman"
)

// Fields of the messages between controllers and workers: heartbeats with the statuses of their tasks, and commands.
const (
	workerName            = "tiller"
	workerAddr            = "addr"
	workerMachineType     = "breed"
	workerZone            = "field"
	workerSpot            = "loaners"
	workerEpoch           = "shift"
	workerSeq             = "tick"
	workerFencingToken    = "baton"
	workerInterruptionIn  = "recallS"
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

// Operations of commands to workers.
const (
	commandLaunch = "launch"
	commandStop   = "stop"
	commandForget = "forget"
)

// Fields of the messages to and from the cloud.
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

// Statuses of the cloud's machines. A controller treats any status other than booting and failed as running.
const (
	cloudStatusRunning = "running"
	cloudStatusBooting = "starting"
	cloudStatusFailed  = "failed"
)

// Fields of the messages to and from the state service.
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

// Fields of the records of jobs. This group and the following ones are the fields of stored records.
const (
	recordSubmittedAt         = "at"
	recordSpec                = "job"
	recordDependencies        = "awaits"
	recordDependencyParts     = "parts"
	recordDependencyPartsHash = "sum"
	recordOutcome             = "end"
	recordTaskCount           = "n"
	recordEndedAt             = "at"
	recordChunkTasks          = "tasks"
	recordDoneBits            = "bits"
)

// Fields of the records of machines and of resource requests that include GPUs.
const (
	recordMachineAddr  = "addr"
	recordMachineType  = "type"
	recordMachineZone  = "zone"
	recordMachineSpot  = "spot"
	recordDemandCPU    = "cpu"
	recordDemandGPU    = "gpu"
	recordDemandMemory = "mem"
)

// Fields of the records of the leader, the feature level, the members and the relayed batches of heartbeats.
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
	ledgerHash             = "sum"
	ledgerUnsettledLeaders = "without"
)
