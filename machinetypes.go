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

// machineTypesRetryInterval is the pause before the machine types are requested again.
const machineTypesRetryInterval = 500 * time.Millisecond

// machineTypeLoader fills the catalog of the machine types that the cloud offers.
type machineTypeLoader struct {
	catalog     *cluster.MachineCatalog
	store       *store.Client
	cloud       *cloud.Client
	undecodable *undecodable.Log
}

// run retries until the catalog is filled or the context ends. The leader may fill the catalog
// in the meantime.
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
		case <-time.After(machineTypesRetryInterval):
		}
	}
}

// errNoMachineTypes reports that the key-value store's record of the machine types is empty.
var errNoMachineTypes = errors.New("no machine types stored")

// load returns the machine types that an earlier leader stored in the key-value store. If that
// record is missing or can't be decoded, it asks the cloud for the types.
func (l machineTypeLoader) load(ctx context.Context) ([]wire.MachineSpec, error) {
	types, err := l.loadStored(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return l.cloud.MachineSpecs(ctx)
	}
	return types, err
}

// loadStored returns the machine types that are stored in the key-value store. It returns
// ErrNotFound also for a record that can't be decoded.
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
