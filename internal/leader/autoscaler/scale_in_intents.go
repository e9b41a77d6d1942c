package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// recordScaleIns records that machines are to be returned. This is final: no leader runs anything on
// them again. It retries failed writes, and returns false if the term ends before one succeeds. It
// is called by background goroutines.
func (c *CloudIntents) recordScaleIns(ctx context.Context, machines []wire.MachineID) bool {
	for {
		err := c.scaleIns.Record(ctx, machines)
		if err == nil {
			return true
		}
		if errors.Is(err, duty.ErrHeldByOther) {
			c.loop.End(err.Error())
			return false
		}
		c.loop.Log.Debug("scale-in intents not recorded", "machines", len(machines), "err", err)
		if !core.Pause(ctx, maxScaleInRetry) {
			return false
		}
	}
}

// scaleInsClearable reports whether the record holds scale-ins, the last of which was confirmed more
// than clearIntentsAfter ago. It must be called only while no scale-in is in flight.
func (c *CloudIntents) scaleInsClearable(now time.Time) bool {
	return len(c.scaleIns.OpenIntents()) > 0 && now.Sub(c.scaleInConfirmedAt) > clearIntentsAfter
}

// maxScaleInBatch returns how many machines one request may return: the most that the cloud
// accepts, halved until they fit in one record.
func (c *CloudIntents) maxScaleInBatch() int {
	size := scaling.MaxScaleIn
	for size > 1 && !c.scaleIns.Fits(longMachineIDs(size)) {
		size /= 2
	}
	return size
}

// maxMachineIDLength is the length of a machine ID that is assumed when a batch is fitted into a
// record. IDs such as "n-000231" are shorter; the rest is a reserve.
const maxMachineIDLength = 24

// longMachineIDs returns distinct machine IDs of the length maxMachineIDLength.
func longMachineIDs(count int) []wire.MachineID {
	ids := make([]wire.MachineID, count)
	for i := range ids {
		ids[i] = wire.MachineID(fmt.Sprintf("%0*d", maxMachineIDLength, i))
	}
	return ids
}
