package lilaclead

import (
	"context"
	"errors"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// machineTypesRetry is the pause before the machine types are requested again.
const machineTypesRetry = 500 * time.Millisecond

// machineTypeLoader finds out which types of machines there are.
type machineTypeLoader struct {
	catalog     *cluster.MachineCatalog
	store       *store.Client
	cloud       *cloud.Client
	undecodable *undecodable.Log
}

// run fills the catalog and returns, unless the context ends before. The leader may fill
// the catalog meanwhile.
func (l machineTypeLoader) run(ctx context.Context) {
	for l.catalog.Get() == nil {
		types, err := l.load(ctx)
		if err == nil {
			l.catalog.Set(types)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(machineTypesRetry):
		}
	}
}

// errNoMachineTypes says that the state service's record of the machine types is empty.
var errNoMachineTypes = errors.New("no machine types stored")

// load returns the machine types that an earlier leader stored in the state service, or
// those that the cloud offers if there is no such record or none that can be decoded.
func (l machineTypeLoader) load(ctx context.Context) ([]wire.MachineSpec, error) {
	types, err := l.loadStored(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return l.cloud.MachineSpecs(ctx)
	}
	return types, err
}

// loadStored returns the machine types of the state service. A record that can't be
// decoded counts as missing.
func (l machineTypeLoader) loadStored(ctx context.Context) ([]wire.MachineSpec, error) {
	entry, err := l.store.Get(ctx, store.ClassBackground, store.MachineSpecsKey)
	if err != nil {
		return nil, err
	}
	var stored wire.MachineSpecs
	if err := wire.Decode(entry.Value, &stored); err != nil {
		l.undecodable.LogOnce(store.MachineSpecsKey, err)
		return nil, store.ErrNotFound
	}
	if len(stored.Types) == 0 {
		return nil, errNoMachineTypes
	}
	return stored.Types, nil
}
