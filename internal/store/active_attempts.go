package store

import (
	"context"
	"errors"
	"slices"

	"lilaclead/internal/wire"
)

// ReadsPerAttempt is the largest number of requests that AttemptIsActive makes.
const ReadsPerAttempt = 3

// AttemptIsActive reads whether an attempt may be on a machine by the records: its job is live and not
// cancelled, and the job's progress has the attempt on that machine. An attempt is recorded before it
// is launched and until its end is known, so that one without a record is of no use any more.
func (c *Client) AttemptIsActive(ctx context.Context, task wire.TaskID, attempt wire.AttemptNumber, machine wire.MachineID) (bool, error) {
	key := JobKey(task.Job)
	entry, err := c.Get(ctx, ClassBackground, key)
	if errors.Is(err, ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	job, err := DecodeJob(key, entry.Value)
	if err != nil {
		return false, err
	}
	if job.Status == wire.StatusCancelled {
		return false, nil
	}
	tasksPerChunk := job.EffectiveTasksPerChunk()
	progress, err := c.chunkWithSubchunks(ctx, task.Job, task.Index/tasksPerChunk)
	if err != nil {
		return false, err
	}
	return hasActiveAttempt(progress, ActiveAttempt{Task: task.Index % tasksPerChunk, Attempt: attempt, Machine: machine})
}

// chunkWithSubchunks reads the entries of a chunk, if it has a record, and of its sub-chunks.
func (c *Client) chunkWithSubchunks(ctx context.Context, id wire.JobID, chunk int) ([]wire.Entry, error) {
	key := ChunkKey(id, chunk)
	progress, _, err := c.List(ctx, ClassBackground, key+"/")
	if err != nil {
		return nil, err
	}
	entry, err := c.Get(ctx, ClassBackground, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return progress, nil
	case err != nil:
		return nil, err
	}
	return append(progress, entry), nil
}

// hasActiveAttempt reports whether the records of sub-chunks and, after them, of their chunk have the
// attempt. For the tasks of a sub-chunk its record counts instead of the chunk's.
func hasActiveAttempt(progress []wire.Entry, wanted ActiveAttempt) (bool, error) {
	for _, entry := range progress {
		var record ChunkRecord
		if err := wire.Decode(entry.Value, &record); err != nil {
			return false, err
		}
		within := wanted
		if _, _, subchunk, ok := ParseSubchunkKey(entry.Key); ok {
			span := taskSpan{subchunk * record.SubchunkTasks, (subchunk + 1) * record.SubchunkTasks}
			if !span.contains(wanted.Task) {
				continue
			}
			within.Task -= span.from
		}
		return slices.Contains(record.Active, within), nil
	}
	return false, nil
}
