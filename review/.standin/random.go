package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type userJob struct {
	spec        *jobSpec
	accepted    bool
	final       string
	cancelAsked bool
	cancelledAt time.Time
	lastOK      time.Time
}

func randomTroubles(record *recorder, trouble bool) int {
	s := kowhai()
	s.teams = "[[settings.teams]]\nname = \"timetable-ops\"\ncpus = 16.0\ncpus_max = 40.0\ngpus = 0.0\ngpus_max = 0.0\n[[settings.teams]]\nname = \"other\"\ncpus = 0.0\ncpus_max = 24.0\ngpus = 0.0\ngpus_max = 0.0"
	limits := map[string]float64{"timetable-ops": 40, "other": 24}
	s.withLinks = true
	if os.Getenv("GAS") != "" {
		s.reportS, s.leaseS, s.cancelS, s.valueKB, s.txnOps = 4, 22, 47, 4, 8
	}
	d, err := newDeployment(record, s)
	if err != nil {
		return couldNot
	}
	defer d.close()
	var mu sync.Mutex
	var broke []string
	bad := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		text := fmt.Sprintf(format, args...)
		broke = append(broke, text)
		record.printf("BROKEN %s", text)
	}
	d.checker.check = func(w *worker, t *workerTask) {
		use, zones := 0.0, map[string]int{}
		for name, o := range d.checker.on {
			if o.spec.Owner == t.spec.Owner {
				use += o.spec.CPUs
			}
			if o.spec == t.spec && name != t.name {
				zones[o.w.site]++
			}
		}
		if use > limits[t.spec.Owner]+1e-6 {
			bad("quota %s %f", t.spec.Owner, use)
		}
		if t.spec.SamePlace {
			for z := range zones {
				if z != w.site {
					bad("wrong_place samePlace %s", t.name)
				}
			}
		}
		if t.spec.Apart && zones[w.site]+1 > (t.spec.Parts+1)/2 {
			bad("wrong_place apart %s", t.name)
		}
		if w.standby && !t.spec.Standby || t.spec.Site != nil && *t.spec.Site != w.site || t.spec.Kits != nil && !slices.Contains(t.spec.Kits, w.kit.Name) {
			bad("wrong_place %s on %s", t.name, w.name)
		}
	}
	for i := range d.nodes {
		if err := d.start(i); err != nil {
			return couldNot
		}
	}
	if !d.ready(20 * time.Second) {
		return couldNot
	}
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS_"))
	if seconds == 0 {
		seconds = 100
	}
	troubleEnds := time.Now().Add(time.Duration(seconds) * time.Second)
	active := func() bool { return trouble && time.Now().Before(troubleEnds) }

	// the state service's faults
	var refused [8]time.Time
	var lateUntil, lostUntil, slowUntil time.Time
	until := func(t *time.Time, d time.Duration) { mu.Lock(); *t = time.Now().Add(d); mu.Unlock() }
	during := func(t *time.Time) bool { mu.Lock(); defer mu.Unlock(); return time.Now().Before(*t) }
	d.state.mu.Lock()
	d.state.fault = func(node int, w http.ResponseWriter, r *http.Request, raw []byte) bool {
		if during(&slowUntil) {
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		}
		if during(&refused[node]) {
			if r.URL.Path == "/changes" && r.URL.Query().Get("blockMs") != "0" {
				for during(&refused[node]) && r.Context().Err() == nil {
					time.Sleep(50 * time.Millisecond)
				}
				return false
			}
			writeCBOR(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
			return true
		}
		if r.URL.Path == "/txn" && during(&lateUntil) && rand.IntN(4) == 0 {
			time.Sleep(time.Duration(2000+rand.IntN(10000)) * time.Millisecond)
			status, _ := d.state.commit(raw)
			record.logf("late transaction of node %d -> %d", node, status)
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/txn" && during(&lostUntil) && rand.IntN(4) == 0 {
			status, _ := d.state.commit(raw)
			record.logf("answer lost of node %d -> %d", node, status)
			time.Sleep(4 * time.Second)
			panic(http.ErrAbortHandler)
		}
		return false
	}
	d.state.mu.Unlock()
	var holdUntil, copyUntil time.Time
	d.onReport = func(w *worker, r report) {
		if !during(&copyUntil) || rand.IntN(3) != 0 {
			return
		}
		node := rand.IntN(len(d.nodes))
		time.AfterFunc(time.Duration(2000+rand.IntN(25000))*time.Millisecond, func() {
			record.logf("late copy of report of %s shift %d tally %d to %d", r.Host, r.Shift, r.Tally, node)
			call(d.ctx, d.users.client, http.MethodPost, "http://"+d.nodes[node].front+"/hello", r, 4*time.Second)
		})
	}
	// troubles
	var busy [8]sync.Mutex
	down := func(i int, f func()) {
		if !busy[i].TryLock() {
			return
		}
		go func() { defer busy[i].Unlock(); f() }()
	}
	restart := func(i int, after time.Duration) {
		d.kill(i)
		time.Sleep(after)
		_ = d.start(i)
	}
	leader := func() int { return max(0, d.nodeIndex(d.state.leader())) }
	ms := func(a, b int) time.Duration { return time.Duration(a+rand.IntN(b-a)) * time.Millisecond }
	troubles := []func(){
		func() { i := leader(); down(i, func() { restart(i, ms(50, 6000)) }) },
		func() { i := leader(); down(i, func() { restart(i, ms(50, 300)) }) },
		func() { i := rand.IntN(3); down(i, func() { restart(i, ms(50, 6000)) }) },
		func() {
			i := leader()
			down(i, func() { d.signal(i, syscall.SIGSTOP); time.Sleep(ms(500, 14000)); d.signal(i, syscall.SIGCONT) })
		},
		func() {
			i := rand.IntN(3)
			down(i, func() { d.signal(i, syscall.SIGSTOP); time.Sleep(ms(500, 9000)); d.signal(i, syscall.SIGCONT) })
		},
		func() {
			for i := range d.nodes {
				down(i, func() { restart(i, ms(50, 6000)) })
			}
		},
		func() { until(&refused[leader()], ms(1000, 30000)) },
		func() { until(&refused[rand.IntN(3)], ms(1000, 10000)) },
		func() { d.state.setOutage(true); time.AfterFunc(ms(1000, 25000), func() { d.state.setOutage(false) }) },
		func() { until(&lateUntil, ms(2000, 10000)) },
		func() { until(&lostUntil, ms(2000, 10000)) },
		func() { until(&slowUntil, ms(2000, 10000)) },
		func() { until(&holdUntil, ms(2000, 10000)) },
		func() { until(&copyUntil, ms(5000, 10000)) },
		func() { d.cloud.setOutage(true); time.AfterFunc(ms(1000, 30000), func() { d.cloud.setOutage(false) }) },
	}
	machineTrouble := func(f func(w *worker)) func() {
		return func() {
			all := d.cloud.all()
			if len(all) == 0 {
				return
			}
			for range 1 + rand.IntN(3) {
				f(all[rand.IntN(len(all))])
			}
		}
	}
	cut := map[string]time.Time{} // zones whose machines get no direct commands
	onLink := func(name string, f func(l *link)) {
		if l := d.links[name]; l != nil {
			f(l)
		}
	}
	troubles = append(troubles,
		func() { // the path between two controllers
			i, j := rand.IntN(3), rand.IntN(3)
			t := ms(500, 30000)
			onLink(fmt.Sprintf("%d-%d", i, j), func(l *link) { l.hold(t) })
			onLink(fmt.Sprintf("%d-%d", j, i), func(l *link) { l.hold(t) })
		},
		func() {
			i, j := rand.IntN(3), rand.IntN(3)
			onLink(fmt.Sprintf("%d-%d", i, j), func(l *link) { l.reset() })
		},
		func() {
			onLink(fmt.Sprintf("%s-%d", d.zones[rand.IntN(2)], rand.IntN(3)), func(l *link) { l.hold(ms(500, 30000)) })
		},
		func() { onLink(fmt.Sprintf("%s-%d", d.zones[rand.IntN(2)], rand.IntN(3)), func(l *link) { l.reset() }) },
		func() { // a controller loses the state service and the other controllers, not its workers
			i, t := leader(), ms(2000, 40000)
			until(&refused[i], t)
			for j := range d.nodes {
				onLink(fmt.Sprintf("%d-%d", i, j), func(l *link) { l.hold(t) })
				onLink(fmt.Sprintf("%d-%d", j, i), func(l *link) { l.hold(t) })
			}
		},
		func() { // a zone is cut off
			zone, t := d.zones[rand.IntN(2)], ms(2000, 40000)
			until1 := time.Now().Add(t)
			mu.Lock()
			cut[zone] = until1
			mu.Unlock()
			for i, n := range d.nodes {
				for j, m := range d.nodes {
					if (n.zone == zone) != (m.zone == zone) {
						onLink(fmt.Sprintf("%d-%d", i, j), func(l *link) { l.hold(t) })
					}
				}
				if n.zone == zone {
					until(&refused[i], t)
					onLink(fmt.Sprintf("%s-%d", d.zones[1-slices.Index(d.zones, zone)], i), func(l *link) { l.hold(t) })
				} else {
					onLink(fmt.Sprintf("%s-%d", zone, i), func(l *link) { l.hold(t) })
				}
			}
		},
	)
	d.holdCommand = func(w *worker) time.Duration {
		mu.Lock()
		rest := time.Until(cut[w.site])
		mu.Unlock()
		if rest > 0 {
			return rest
		}
		if during(&holdUntil) && rand.IntN(3) == 0 {
			return time.Duration(2000+rand.IntN(14000)) * time.Millisecond
		}
		return 0
	}
	with := func(w *worker, f func()) { w.mu.Lock(); f(); w.mu.Unlock() }
	troubles = append(troubles,
		machineTrouble(func(w *worker) { with(w, func() { w.hungUntil = time.Now().Add(ms(500, 20000)) }) }),
		machineTrouble(func(w *worker) { with(w, func() { w.deafUntil = time.Now().Add(ms(500, 30000)) }) }),
		machineTrouble(func(w *worker) { with(w, func() { w.muteUntil = time.Now().Add(ms(500, 30000)) }) }),
		machineTrouble(func(w *worker) { w.restart() }),
		machineTrouble(func(w *worker) { record.logf("machine %s stops", w.name); w.remove() }),
	)
	go func() {
		for active() {
			n := rand.IntN(len(troubles))
			record.logf("TROUBLE %d", n)
			troubles[n]()
			if rand.IntN(2) == 0 {
				time.Sleep(ms(10, 4000))
			}
		}
	}()
	// users
	jobs := []*userJob{}
	var users sync.WaitGroup
	tell := func(j *userJob, status string, asked time.Time, where string) {
		mu.Lock()
		final, finalAt := j.final, j.cancelledAt
		if status == "done" || status == "cancelled" {
			if j.final == "" {
				j.final, j.cancelledAt = status, time.Now()
			}
		}
		j.lastOK = time.Now()
		mu.Unlock()
		if final != "" && final != status && asked.After(finalAt) {
			bad("went_back %s: %s after %s at %s", j.spec.ID, status, final, where)
		}
		if status == "cancelled" && !j.cancelAsked {
			bad("went_back %s cancelled without a cancel", j.spec.ID)
		}
		if status == "done" && d.checker.doneOf(j.spec.ID, j.spec.Parts) < j.spec.Parts {
			bad("not_done %s", j.spec.ID)
		}
	}
	end := troubleEnds.Add(time.Duration(75) * time.Second)
	user := func(j *userJob, cancelAfter time.Duration) {
		defer users.Done()
		j.accepted = d.users.submit(j.spec, ms(200, 25000))
		if !j.accepted {
			return
		}
		mu.Lock()
		j.lastOK = time.Now()
		mu.Unlock()
		started := time.Now()
		for node := rand.IntN(3); time.Now().Before(end); node++ {
			if cancelAfter > 0 && time.Since(started) > cancelAfter && j.final == "" {
				j.cancelAsked = true
				asked := time.Now()
				status, state := d.users.cancel(node, j.spec.ID)
				switch {
				case status == 200:
					tell(j, state.Status, asked, "cancel")
					for i := range 3 {
						asked := time.Now()
						if status, state := d.users.poll(i, j.spec.ID); status == 200 {
							tell(j, state.Status, asked, "poll after cancel")
						}
					}
				case status == 404:
					bad("forgotten %s 404 on cancel", j.spec.ID)
				}
				time.Sleep(ms(100, 1000))
				continue
			}
			asked := time.Now()
			status, state := d.users.poll(node, j.spec.ID)
			switch status {
			case 200:
				tell(j, state.Status, asked, "poll")
			case 404:
				bad("forgotten %s 404", j.spec.ID)
			}
			if j.final != "" && rand.IntN(3) == 0 {
				if status, body := d.users.ask(node, "POST", "/v1/jobs", j.spec, 5*time.Second); status == 400 || status == 422 || status == 201 {
					bad("forgotten %s resubmitted -> %d %s", j.spec.ID, status, show(body))
				}
			}
			if j.final != "" && time.Since(j.cancelledAt) > 50*time.Second {
				return
			}
			time.Sleep(ms(200, 2500))
		}
	}
	go func() { // ran_cancelled
		for d.ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			var late []string
			for _, j := range jobs {
				if j.final == "cancelled" && time.Since(j.cancelledAt).Seconds() > d.cancelS {
					late = append(late, j.spec.ID)
				}
			}
			mu.Unlock()
			d.checker.mu.Lock()
			var found []string
			for task := range d.checker.on {
				if id, _, _ := strings.Cut(task, "/"); slices.Contains(late, id) {
					found = append(found, task)
				}
			}
			d.checker.mu.Unlock()
			for _, task := range found {
				bad("ran_cancelled %s", task)
			}
		}
	}()
	for i := 0; time.Now().Before(troubleEnds.Add(-5 * time.Second)); i++ {
		spec := sweep(fmt.Sprintf("req-%06d", rand.IntN(1000000)*1000+i), 1+rand.IntN(5), []float64{1, 2, 4}[rand.IntN(3)], 3)
		spec.Shape = []string{"sweep", "ensemble", "daemon", "ensemble"}[rand.IntN(4)]
		spec.Urgency = []string{"prod", "urgent", "standard", "best_effort"}[rand.IntN(4)]
		spec.Owner = []string{"timetable-ops", "other"}[rand.IntN(2)]
		spec.Standby = rand.IntN(2) == 0
		spec.SamePlace = rand.IntN(4) == 0
		spec.Apart = !spec.SamePlace && rand.IntN(3) == 0
		if rand.IntN(3) == 0 {
			spec.SnapshotEvery, spec.SnapshotS = 5, 1
		}
		if rand.IntN(5) == 0 {
			site := d.zones[rand.IntN(2)]
			spec.Site = &site
		}
		spec.ImageGB, spec.Bundle = []float64{0.1, 1}[rand.IntN(2)], fmt.Sprint("img-", rand.IntN(4))
		j := &userJob{spec: spec}
		cancelAfter := time.Duration(0)
		if spec.Shape == "daemon" || rand.IntN(3) == 0 {
			cancelAfter = ms(100, 20000)
		}
		mu.Lock()
		jobs = append(jobs, j)
		mu.Unlock()
		users.Add(1)
		go user(j, cancelAfter)
		time.Sleep(ms(300, 2500))
	}
	users.Wait()
	for _, text := range d.checker.twice {
		bad("%s", text)
	}
	open := 0
	for _, j := range jobs {
		if j.accepted && j.final == "" {
			open++
			record.printf("open %+v done %d starts %d", *j.spec, d.checker.doneOf(j.spec.ID, j.spec.Parts), d.checker.startsOf(j.spec.ID, j.spec.Parts))
		}
	}
	record.printf("%d jobs, %d not ended, %d broken", len(jobs), open, len(broke))
	if len(broke) > 0 {
		return broken
	}
	return held
}
