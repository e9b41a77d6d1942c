package simulator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"lilaclead/internal/wire"
)

// listSnapshot is the list of machines at a time.
type listSnapshot struct {
	listedAt time.Time
	machines []wire.ListedMachine
}

// capacityKey is the key of Simulation.capacity for a machine type in a zone, spot or on demand.
func capacityKey(machineType wire.MachineType, zone wire.Zone, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// listedMachines returns the machines that the cloud lists now; the caller holds the lock.
func (sim *Simulation) listedMachines() []wire.ListedMachine {
	out := []wire.ListedMachine{}
	for _, m := range sim.machines {
		if m.unlisted {
			continue
		}
		st := wire.ListedStarting
		if m.up {
			st = wire.ListedRunning
		}
		out = append(out, wire.ListedMachine{Name: m.id, Addr: sim.advertisedAddr(m.addr), Type: m.machineType, Zone: m.zone, Spot: m.spot, State: st, Age: wire.Seconds(time.Since(m.provisionedAt).Seconds())})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// cloud serves the cloud's API.
func (sim *Simulation) cloud(rw http.ResponseWriter, r *http.Request) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
	if err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.cloudOutage {
		wire.WriteResponse(rw, http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"})
		return
	}
	if sim.delayRequest(r, raw) {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/flavors":
		wire.WriteResponse(rw, http.StatusOK, wire.MachineSpecs{Types: sim.machineTypes})
	case "/machines/release":
		if !sim.scaleIn(raw) {
			wire.WriteResponse(rw, http.StatusBadRequest, wire.ErrorBody{Error: "malformed"})
			return
		}
		if sim.loseScaleInResponses > 0 {
			sim.loseScaleInResponses--
			panic(http.ErrAbortHandler)
		}
		sim.copyScaleIn(raw)
		wire.WriteResponse(rw, http.StatusOK, struct{}{})
	case "/machines":
		if r.Method == "GET" {
			sim.list(rw, r)
			return
		}
		sim.scaleOut(rw, raw)
		sim.copyScaleOut(raw)
	}
}

// scaleIn removes the machines of a scale-in request, and returns false if it is malformed.
func (sim *Simulation) scaleIn(raw []byte) bool {
	var names wire.MachineNames
	if wire.Decode(raw, &names) != nil || len(names.Machines) > 100 {
		return false
	}
	for _, id := range names.Machines {
		sim.removeMachine(id)
	}
	return true
}

// list answers with the machines as they were listLag ago. One response in four is twice as old,
// so that a list may be older than the one before.
func (sim *Simulation) list(rw http.ResponseWriter, r *http.Request) {
	now := time.Now()
	sim.listHistory = append(sim.listHistory, listSnapshot{now, sim.listedMachines()})
	age := sim.listLag
	if sim.rng.IntN(4) == 0 {
		age *= 2
	}
	page := wire.MachinePage{Machines: []wire.ListedMachine{}}
	for i := len(sim.listHistory) - 1; i >= 0; i-- {
		if now.Sub(sim.listHistory[i].listedAt) >= age {
			page = pageOf(sim.listHistory[i].machines, r.URL.Query())
			break
		}
	}
	if len(sim.listHistory) > 200 {
		sim.listHistory = append([]listSnapshot(nil), sim.listHistory[100:]...)
	}
	wire.WriteResponse(rw, http.StatusOK, page)
}

// maxPage is the highest number of machines on a page of a list.
const maxPage = 500

// pageOf returns the page of a list that a query asks for.
func pageOf(machines []wire.ListedMachine, query url.Values) wire.MachinePage {
	page := wire.MachinePage{Machines: []wire.ListedMachine{}}
	limit := maxPage
	if requested, err := strconv.Atoi(query.Get("page")); err == nil && requested > 0 {
		limit = min(limit, requested)
	}
	for _, m := range machines {
		if string(m.Name) <= query.Get("after") {
			continue
		}
		if len(page.Machines) == limit {
			page.Truncated = true
			break
		}
		page.Machines = append(page.Machines, m)
	}
	return page
}

// ScaleOutNames returns the names of the scale-out requests that were filled, in the order in
// which they were filled.
func (sim *Simulation) ScaleOutNames() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.scaleOutNames)
}

// scaleOut serves a scale-out request. A request with the name of an earlier one is answered with
// the same machines.
func (sim *Simulation) scaleOut(rw http.ResponseWriter, raw []byte) {
	var request wire.ScaleOutRequest
	if wire.Decode(raw, &request) != nil || request.Count < 1 || request.Count > 50 || request.Name == "" {
		wire.WriteResponse(rw, http.StatusBadRequest, wire.ErrorBody{Error: "malformed"})
		return
	}
	ids, known := sim.scaleOuts[request.Name]
	if !known {
		key := capacityKey(request.Type, request.Zone, request.Spot)
		n := min(request.Count, sim.capacity[key])
		if n <= 0 || sim.soldOut[request.Zone] || sim.spotSoldOut && request.Spot {
			wire.WriteResponse(rw, http.StatusServiceUnavailable, wire.ErrorBody{Error: "no capacity"})
			return
		}
		sim.capacity[key] -= n
		for range n {
			ids = append(ids, sim.provisionMachine(request.Type, request.Zone, request.Spot, time.Duration(float64(10*time.Second)*sim.bootFactor*(0.6+0.9*sim.rng.Float64()))))
		}
		sim.scaleOuts[request.Name] = ids
		sim.scaleOutNames = append(sim.scaleOutNames, request.Name)
	}
	if sim.loseScaleOutResponses > 0 {
		sim.loseScaleOutResponses--
		panic(http.ErrAbortHandler)
	}
	wire.WriteResponse(rw, http.StatusOK, wire.MachineNames{Machines: ids})
}

// provisionMachine creates a machine and returns its ID; the caller holds the lock.
func (sim *Simulation) provisionMachine(machineType wire.MachineType, zone wire.Zone, spot bool, bootTime time.Duration) wire.MachineID {
	id := wire.MachineID(fmt.Sprintf("n-%06d", sim.provisionedCount))
	ip := fmt.Sprintf("10.1.%d.%d", sim.provisionedCount/250, sim.provisionedCount%250+1)
	sim.provisionedCount++
	var spec wire.MachineSpec
	for _, s := range sim.machineTypes {
		if s.Name == machineType {
			spec = s
		}
	}
	ctx, cancel := context.WithCancel(sim.ctx)
	m := &worker{sim: sim, id: id, ip: ip, addr: ip + ":9000", machineType: machineType, zone: zone, spot: spot, spec: spec, provisionedAt: time.Now(), ctx: ctx, cancel: cancel,
		epoch: 1, tasks: map[wire.TaskID]*taskRun{}, cachedImages: map[wire.ImageID]bool{}, clockRate: 1 + (sim.rng.Float64()-0.5)*0.001, wake: make(chan struct{}, 1)}
	if sim.provisionFaulty > 0 {
		m.faulty = true
		sim.provisionFaulty--
	}
	sim.machines[id] = m
	sim.Net.SlowHost(ip, sim.linkDelay)
	m.unlisted = sim.provisionUnlisted
	if zone == sim.isolatedZone {
		sim.Net.Isolate(ip, true)
	}
	if sim.partitionedZones[0] != "" {
		sim.partitionMachine(m, sim.partitionedZones[0], sim.partitionedZones[1], true)
	}
	sim.spawn(func() {
		sleep(ctx, bootTime)
		if ctx.Err() == nil {
			m.run()
		}
	})
	return id
}

// removeMachine removes a machine with all its tasks; the caller holds the lock.
func (sim *Simulation) removeMachine(id wire.MachineID) {
	m := sim.machines[id]
	if m == nil {
		return
	}
	delete(sim.machines, id)
	sim.capacity[capacityKey(m.machineType, m.zone, m.spot)]++
	m.cancel()
	for t, run := range m.tasks {
		sim.checker.TaskLeft(t, id, false)
		sim.onGangTaskLeft(t, run)
	}
	m.tasks = map[wire.TaskID]*taskRun{}
	m.removed = true
	sim.Net.SetPowerOff(m.ip, true)
}
