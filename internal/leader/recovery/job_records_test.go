package recovery

import (
	"testing"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestApplyJobRecordAddsAndCancelsJobs(t *testing.T) {
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
		wantTermOver  bool
	}{
		{"new", func(*Records) {}, wire.StatusQueued, 5, true, false, false},
		{"new and cancelled", func(*Records) {}, wire.StatusCancelled, 5, true, true, false},
		{"known, then cancelled", func(r *Records) { r.applyJobRecord(store.JobKey("req-1"), record(wire.StatusQueued), 4) }, wire.StatusCancelled, 5, true, true, false},
		{"older than the known record", func(r *Records) { r.applyJobRecord(store.JobKey("req-1"), record(wire.StatusQueued), 6) }, wire.StatusCancelled, 5, true, false, false},
		{"archived", func(r *Records) { r.State.ArchivedJobs["req-1"] = true }, wire.StatusQueued, 5, false, false, false},
		{"quarantined, decodable again", func(r *Records) { r.State.QuarantinedJobs["req-1"] = true }, wire.StatusQueued, 5, false, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestRecords(t.Context())
			tc.setup(r)
			r.applyJobRecord(store.JobKey("req-1"), record(tc.status), tc.revision)
			job := r.State.Jobs["req-1"]
			termOver := r.EndReason() != ""
			if (job != nil) != tc.wantJob || termOver != tc.wantTermOver {
				t.Fatalf("job in the model %v, term over %v; want %v, %v", job != nil, termOver, tc.wantJob, tc.wantTermOver)
			}
			if job != nil && job.Cancelled != tc.wantCancelled {
				t.Errorf("cancelled: got %v, want %v", job.Cancelled, tc.wantCancelled)
			}
		})
	}
}
