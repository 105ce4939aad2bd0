package model

// Chunk identifies one of the records that store a job's finished tasks. There are two layouts of these records.
//
// In the present layout StartsAtTask is true, and Number is the index of the first task of the record.
//
// In the layout of the first version Number is the number of the chunk, and the chunk size was derived from a limit
// of the state service. Such records are still read, with the chunk size with which they were written. Only chunk 0
// is still written, for jobs whose tasks fit into one record, since both layouts are the same for them.
type Chunk struct {
	StartsAtTask bool
	Number       int
}

// ChunkTasks is the number of tasks in a chunk of the present layout. It does not depend on any limit of the state
// service, and a record stays below 600 bytes.
const ChunkTasks = 2048

// ChunkOf returns the chunk to which the end of a task is written.
func (s *Spec) ChunkOf(task int) Chunk {
	if s.Tasks <= ChunkTasks {
		return Chunk{}
	}
	return Chunk{StartsAtTask: true, Number: task / ChunkTasks * ChunkTasks}
}

// First returns the index of the first task of a chunk. numberedChunkTasks is the number of tasks per chunk in the
// layout of the first version.
func (c Chunk) First(numberedChunkTasks int) int {
	if c.StartsAtTask {
		return c.Number
	}
	return c.Number * numberedChunkTasks
}

// JobCompletion tracks which tasks of a job are finished, and for which of them that is stored durably.
type JobCompletion struct {
	DoneBits       []byte         // one bit per task, set if it is done; task i has bit i%8 of byte i/8
	DirtyChunks    map[Chunk]bool // chunks with finished tasks that still have to be written
	RecordedChunks map[Chunk]bool // chunks for which a record may exist; it is deleted when the job ends
	durableBits    []byte         // the bits of DoneBits that are stored; nil if there are none
}

func newJobCompletion(tasks int) JobCompletion {
	return JobCompletion{
		DoneBits:       make([]byte, (tasks+7)/8),
		DirtyChunks:    map[Chunk]bool{},
		RecordedChunks: map[Chunk]bool{},
	}
}

// MarkDone marks as done the tasks whose bits are set in the record of a chunk. The record's first bit is that of the
// task firstTask. Bits beyond the last task are ignored.
func (j *Job) MarkDone(firstTask int, bits []byte) {
	for byteIndex, b := range bits {
		for bitIndex := 0; b != 0; bitIndex++ {
			if task := firstTask + byteIndex*8 + bitIndex; b&1 != 0 && task < len(j.states) {
				j.SetTask(task, TaskDone)
			}
			b >>= 1
		}
	}
}

// MarkDurable marks the tasks whose bits are set in the record of a chunk as durably finished. The record's first bit
// is that of the task firstTask, which must be a multiple of 8.
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

// IsDurable reports whether the end of a finished task is stored, in a chunk or with the end of the whole job.
func (j *Job) IsDurable(task int) bool {
	return j.State == JobEnded || j.durableBits != nil && j.durableBits[task/8]&(1<<(task%8)) != 0
}
