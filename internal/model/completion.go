package model

// Chunk identifies a record of finished tasks. With StartsAtTask, Number is the
// first task of the record. Otherwise it is the number of a chunk in the layout
// of the first version, in which the size of a chunk followed from a limit of the
// state service: such records are read at the size that they were written with,
// and only number 0 is still written, for arrays that fit into one record, where
// both layouts agree.
type Chunk struct {
	StartsAtTask bool
	Number       int
}

// ChunkTasks is how many tasks a record of finished tasks holds. It does not
// depend on any limit, and the record stays below 600 bytes.
const ChunkTasks = 2048

// ChunkOf returns the chunk that a task's end is written to.
func (s *Spec) ChunkOf(task int) Chunk {
	if s.Tasks <= ChunkTasks {
		return Chunk{}
	}
	return Chunk{StartsAtTask: true, Number: task / ChunkTasks * ChunkTasks}
}

// First returns the first task of a chunk; numberedChunkTasks is how many tasks a
// numbered chunk has.
func (c Chunk) First(numberedChunkTasks int) int {
	if c.StartsAtTask {
		return c.Number
	}
	return c.Number * numberedChunkTasks
}

// JobCompletion is the record of a job's finished tasks, and how much of it is
// durable.
type JobCompletion struct {
	DoneBits       []byte         // finished tasks, one bit each
	DirtyChunks    map[Chunk]bool // chunks of DoneBits that are not durable yet
	RecordedChunks map[Chunk]bool // chunks of which a record was ever written
	durableBits    []byte         // the part of DoneBits that is durable; nil: none
}

func newJobCompletion(tasks int) JobCompletion {
	return JobCompletion{
		DoneBits:       make([]byte, (tasks+7)/8),
		DirtyChunks:    map[Chunk]bool{},
		RecordedChunks: map[Chunk]bool{},
	}
}

// LoadDone marks the tasks of a recorded chunk as done. The chunk's first bit is
// the task firstTask.
func (j *Job) LoadDone(firstTask int, bits []byte) {
	for byteIndex, b := range bits {
		for bitIndex := 0; b != 0; bitIndex++ {
			if task := firstTask + byteIndex*8 + bitIndex; b&1 != 0 && task < len(j.states) {
				j.SetTask(task, TaskDone)
			}
			b >>= 1
		}
	}
}

// MarkDurable marks a chunk of finished tasks as durable. The chunk's first bit
// is the task firstTask.
func (c *JobCompletion) MarkDurable(firstTask int, bits []byte) {
	if c.durableBits == nil {
		c.durableBits = make([]byte, len(c.DoneBits))
	}
	for byteIndex, b := range bits {
		if i := firstTask/8 + byteIndex; i < len(c.durableBits) {
			c.durableBits[i] |= b
		}
	}
}

// IsDurable reports whether the end of a finished task is durable.
func (j *Job) IsDurable(task int) bool {
	return j.State == JobEnded || j.durableBits != nil && j.durableBits[task/8]&(1<<(task%8)) != 0
}
