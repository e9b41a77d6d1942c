package recovery

import (
	"testing"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestJobRecordAddsAndCancelsJobs(t *testing.T) {
	spec := wire.JobSpec{ID: "req-1", Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1}
	record := func(status wire.Status) wire.RawValue {
		return wire.Encode(store.JobRecord{Spec: spec, Status: status, AcceptedAt: wire.TimestampOf(time.Now())})
	}
	cases := []struct {
		name          string
		setup         func(r *Records)
		status        wire.Status
		revision      wire.Revision
		wantJob       bool
		wantCancelled bool
		wantOver      bool
	}{
		{"new", func(*Records) {}, wire.StatusQueued, 5, true, false, false},
		{"new and cancelled", func(*Records) {}, wire.StatusCancelled, 5, true, true, false},
		{"known and cancelled", func(r *Records) { r.applyJobRecord(store.JobKey("req-1"), record(wire.StatusQueued), 4) }, wire.StatusCancelled, 5, true, true, false},
		{"older than the known record", func(r *Records) { r.applyJobRecord(store.JobKey("req-1"), record(wire.StatusQueued), 6) }, wire.StatusCancelled, 5, true, false, false},
		{"archived", func(r *Records) { r.State.ArchivedJobs["req-1"] = true }, wire.StatusQueued, 5, false, false, false},
		{"quarantined, decodable again", func(r *Records) { r.State.QuarantinedJobs["req-1"] = true }, wire.StatusQueued, 5, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRecords(t.Context())
			c.setup(r)
			r.applyJobRecord(store.JobKey("req-1"), record(c.status), c.revision)
			j := r.State.Jobs["req-1"]
			over := r.EndReason() != ""
			if (j != nil) != c.wantJob || over != c.wantOver {
				t.Fatalf("got job %v, term over %v, want %v, %v", j != nil, over, c.wantJob, c.wantOver)
			}
			if j != nil && j.Cancelled != c.wantCancelled {
				t.Errorf("cancelled: got %v, want %v", j.Cancelled, c.wantCancelled)
			}
		})
	}
}
