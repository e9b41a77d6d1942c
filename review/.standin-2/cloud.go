package main

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"lilaclead/internal/wire"
)

// cloudLatency is how long the cloud takes for an answer: the longer one of both sites.
const cloudLatency = 250 * time.Millisecond

// cloud serves the cloud's interface.
func (w *world) cloud(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(cloudLatency)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.cloudOutage:
		var request wire.MachineNames
		if r.URL.Path == "/machines/release" && wire.Decode(body, &request) == nil {
			for _, id := range request.Machines {
				w.unwanted[id] = true
			}
		}
		w.sayLocked("cloud: %s %s: 503 trouble", r.Method, r.URL.Path)
		wire.WriteResponse(rw, http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"})
	case r.URL.Path == "/flavors":
		wire.WriteResponse(rw, http.StatusOK, wire.MachineSpecs{Types: w.specs})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		w.rentLocked(rw, body)
	case r.URL.Path == "/machines/release":
		w.releaseLocked(rw, body)
	case r.URL.Path == "/machines":
		w.listLocked(rw, r)
	default:
		wire.WriteResponse(rw, http.StatusBadRequest, wire.ErrorBody{Error: "malformed"})
	}
}

func (w *world) rentLocked(rw http.ResponseWriter, body []byte) {
	var request wire.ScaleOutRequest
	if wire.Decode(body, &request) != nil || request.Count < 1 || request.Count > 50 {
		wire.WriteResponse(rw, http.StatusBadRequest, wire.ErrorBody{Error: "malformed"})
		return
	}
	if names, known := w.bookings[request.Name]; known {
		wire.WriteResponse(rw, http.StatusOK, wire.MachineNames{Machines: names})
		return
	}
	names := []wire.MachineID{}
	for i := range w.specs {
		if w.specs[i].Name != request.Type {
			continue
		}
		for range request.Count {
			m := w.newWorkerLocked(&w.specs[i], request.Zone, request.Spot, 0)
			names = append(names, m.id)
			time.AfterFunc(w.bootTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				m.bootLocked()
			})
		}
	}
	w.bookings[request.Name] = names
	w.sayLocked("cloud: rents %v (%s, %s, spot %v)", names, request.Type, request.Zone, request.Spot)
	wire.WriteResponse(rw, http.StatusOK, wire.MachineNames{Machines: names})
}

func (w *world) releaseLocked(rw http.ResponseWriter, body []byte) {
	var request wire.MachineNames
	if wire.Decode(body, &request) != nil || len(request.Machines) > 100 {
		wire.WriteResponse(rw, http.StatusBadRequest, wire.ErrorBody{Error: "malformed"})
		return
	}
	for _, id := range request.Machines {
		if m := w.workers[id]; m != nil {
			m.gone = true
			m.haltLocked()
			delete(w.workers, id)
		}
	}
	w.sayLocked("cloud: deletes %v", request.Machines)
	w.notifyLocked()
	wire.WriteResponse(rw, http.StatusOK, struct{}{})
}

// listLocked lists the machines. Those that are younger than the lag are missing.
func (w *world) listLocked(rw http.ResponseWriter, r *http.Request) {
	after := wire.MachineID(r.URL.Query().Get("after"))
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page > 500 {
		page = 500
	}
	out := wire.MachinePage{Machines: []wire.ListedMachine{}}
	for _, m := range w.workers {
		age := time.Since(m.createdAt)
		if m.id <= after || age < w.settings.Cloud.ListLag.Duration() {
			continue
		}
		state := wire.ListedStarting
		if m.booted {
			state = wire.ListedRunning
		}
		out.Machines = append(out.Machines, wire.ListedMachine{Name: m.id, Addr: m.addr, Type: m.spec.Name, Zone: m.zone, Spot: m.spot, State: state, Age: wire.Seconds(age.Seconds())})
	}
	sort.Slice(out.Machines, func(i, j int) bool { return out.Machines[i].Name < out.Machines[j].Name })
	if len(out.Machines) > page {
		out.Machines, out.Truncated = out.Machines[:page], true
	}
	wire.WriteResponse(rw, http.StatusOK, out)
}
