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

// recordScaleIns records that machines are to be returned. This is final: no leader runs
// anything on them again. It returns false if the term has ended before. It runs in the
// background.
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

// scaleInsClearable reports whether the record holds scale-ins, and none was confirmed for
// a while. It is called while no scale-in is in flight.
func (c *CloudIntents) scaleInsClearable(now time.Time) bool {
	return len(c.scaleIns.OpenIntents()) > 0 && now.Sub(c.scaledInAt) > clearIntentsAfter
}

// maxScaleInBatch returns how many machines one request may return: as many as the cloud
// accepts and as fit in one record.
func (c *CloudIntents) maxScaleInBatch() int {
	size := scaling.MaxScaleIn
	for size > 1 && !c.scaleIns.Fits(longMachineIDs(size)) {
		size /= 2
	}
	return size
}

// maxMachineIDLength is the assumed length of a machine's name, such as "n-000231", with
// a reserve for longer ones.
const maxMachineIDLength = 24

// longMachineIDs returns distinct names of the length maxMachineIDLength.
func longMachineIDs(count int) []wire.MachineID {
	ids := make([]wire.MachineID, count)
	for i := range ids {
		ids[i] = wire.MachineID(fmt.Sprintf("%0*d", maxMachineIDLength, i))
	}
	return ids
}
