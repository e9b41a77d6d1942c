package scheduling

import (
	"log/slog"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// Starter starts tasks on machines: it creates their attempts, whose launches are sent only
// after the attempts are stored.
type Starter struct {
	state *cluster.State
	log   *slog.Logger
}

// nextAttempt is passed to startAttempt to use the next attempt number of the task's chunk.
const nextAttempt wire.AttemptNumber = 0

// StartTask starts one pending task of a job on a machine.
func (s *Starter) StartTask(job *cluster.Job, machine *cluster.Machine, now time.Time) {
	s.startAttempt(job, machine, nextAttempt, now)
}

// StartGang starts all tasks of a gang at once, with one attempt number that none of them has
// had. No launch is sent before the attempts of all of them are stored.
func (s *Starter) StartGang(job *cluster.Job, machines []*cluster.Machine, now time.Time) {
	gang := &cluster.Gang{AttemptNumber: 1, StartedAt: now}
	chunks := (job.Spec.Tasks + job.TasksPerChunk - 1) / job.TasksPerChunk
	for i := range chunks {
		gang.AttemptNumber = max(gang.AttemptNumber, job.Chunk(i).NextAttempt)
	}
	job.Gang = gang
	for _, machine := range machines {
		s.startAttempt(job, machine, gang.AttemptNumber, now)
	}
	for i := range chunks {
		job.Chunks[i].NextAttempt = gang.AttemptNumber + 1
	}
}

// startAttempt starts the first pending task of a job with an attempt number, or with the next
// one of the task's chunk if number is nextAttempt.
func (s *Starter) startAttempt(job *cluster.Job, machine *cluster.Machine, number wire.AttemptNumber, now time.Time) {
	job.ForEachPendingTask(1, func(chunk *cluster.Chunk, index int) {
		attempt := &cluster.Attempt{Job: job, Chunk: chunk, Index: index, Number: number, Machine: machine, ScheduledAt: now, Unstored: true}
		if number == nextAttempt {
			attempt.Number = chunk.NextAttempt
			chunk.NextAttempt++
		}
		chunk.UnstoredAttempts++
		job.UnstoredAttempts++
		chunk.AddAttempt(attempt)
		job.LastStartAt = now
		removeReservation(machine, job.Spec.ID)
		s.state.UnsavedChanges.MarkDirty(chunk)
		s.log.Debug("task scheduled", "task", attempt.Task(), "attempt", attempt.Number, "machine", machine.ID, "age", now.Sub(job.AcceptedAt))
	})
}

// removeReservation removes one reservation of a job on a machine, if there is any.
func removeReservation(machine *cluster.Machine, id wire.JobID) {
	i := slices.IndexFunc(machine.Reservations, func(r cluster.Reservation) bool { return r.Job == id })
	if i >= 0 {
		machine.Reservations = slices.Delete(machine.Reservations, i, i+1)
	}
}
