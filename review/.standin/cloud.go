package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// cloudService is a small cloud by the protocol page. Its machines are workers of this process.
type cloudService struct {
	d        *deployment
	types    []machineType
	capacity int // machines in all
	lag      time.Duration

	mu       sync.Mutex
	next     int
	bookings map[string][]string
	machines map[string]*worker
	outage   bool
	faulty   int    // how many of the first machines fail every task
	onlySite string // the only zone that has machines left; empty: all have
}

func newCloudService(d *deployment, types []machineType, capacity int, lag time.Duration) *cloudService {
	return &cloudService{d: d, types: types, capacity: capacity, lag: lag, bookings: map[string][]string{}, machines: map[string]*worker{}}
}

func (c *cloudService) typeNamed(name string) *machineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

func (c *cloudService) setOutage(outage bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = outage
}

func (c *cloudService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	outage := c.outage
	c.mu.Unlock()
	switch {
	case outage:
		writeCBOR(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
	case r.URL.Path == "/flavors":
		writeCBOR(w, http.StatusOK, map[string]any{"kits": c.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.rent(w, raw)
	case r.URL.Path == "/machines":
		c.list(w, r)
	case r.URL.Path == "/machines/release":
		c.release(w, raw)
	default:
		writeCBOR(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
	}
}

func (c *cloudService) rent(w http.ResponseWriter, raw []byte) {
	var request struct {
		Booking string `cbor:"booking"`
		Kit     string `cbor:"kit"`
		Site    string `cbor:"site"`
		Standby bool   `cbor:"standby"`
		Count   int    `cbor:"count"`
	}
	if cbor.Unmarshal(raw, &request) != nil || c.typeNamed(request.Kit) == nil || request.Count < 1 || request.Count > 50 {
		writeCBOR(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	hosts, known := c.bookings[request.Booking]
	if !known && (c.onlySite == "" || c.onlySite == request.Site) {
		for range min(request.Count, c.capacity-len(c.machines)) {
			hosts = append(hosts, c.add(request.Kit, request.Site, request.Standby, c.typeNamed(request.Kit).bootS))
		}
		if len(hosts) > 0 {
			c.bookings[request.Booking] = hosts
		}
	}
	c.mu.Unlock()
	c.d.record.logf("cloud: rent %s %s %s standby=%v count=%d -> %v", request.Booking, request.Kit, request.Site, request.Standby, request.Count, hosts)
	if len(hosts) == 0 {
		writeCBOR(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
		return
	}
	writeCBOR(w, http.StatusOK, map[string]any{"hosts": hosts})
}

// add starts a machine and returns its name; the caller holds the lock.
func (c *cloudService) add(kit, site string, standby bool, bootS float64) string {
	c.next++
	name := fmt.Sprintf("n-%06d", c.next)
	w := newWorker(c.d, name, c.typeNamed(kit), site, standby)
	w.faulty = c.next <= c.faulty
	c.machines[name] = w
	time.AfterFunc(time.Duration(bootS*float64(time.Second)), w.boot)
	return name
}

func (c *cloudService) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	page, _ := strconv.Atoi(r.URL.Query().Get("page"))
	if page <= 0 || page > 500 {
		page = 500
	}
	c.mu.Lock()
	var names []string
	for name, m := range c.machines {
		if name > after && time.Since(m.rentedAt) > c.lag {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	truncated := len(names) > page
	hosts := []listedMachine{}
	for _, name := range names[:min(page, len(names))] {
		m := c.machines[name]
		status := "starting"
		if m.isUp() {
			status = "running"
		}
		hosts = append(hosts, listedMachine{m.name, m.addr, m.kit.Name, m.site, m.standby, status, time.Since(m.rentedAt).Seconds()})
	}
	c.mu.Unlock()
	writeCBOR(w, http.StatusOK, map[string]any{"hosts": hosts, "truncated": truncated})
}

func (c *cloudService) release(w http.ResponseWriter, raw []byte) {
	var request struct {
		Hosts []string `cbor:"hosts"`
	}
	if cbor.Unmarshal(raw, &request) != nil || len(request.Hosts) > 100 {
		writeCBOR(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.d.record.logf("cloud: release %v", request.Hosts)
	for _, name := range request.Hosts {
		c.mu.Lock()
		m := c.machines[name]
		delete(c.machines, name)
		c.mu.Unlock()
		if m != nil {
			m.remove()
		}
	}
	writeCBOR(w, http.StatusOK, map[string]any{})
}

// all returns the machines that exist.
func (c *cloudService) all() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, m := range c.machines {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// rented returns how many machines were rented so far.
func (c *cloudService) rented() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// listenLoopback returns a listener on a free port.
func listenLoopback() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}
