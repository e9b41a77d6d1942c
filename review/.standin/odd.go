package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

func oddSpecs(record *recorder, trouble bool) int {
	d, err := newDeployment(record, kowhai())
	if err != nil {
		return couldNot
	}
	defer d.close()
	d.checker.quiet = true
	for i := range d.nodes {
		if err := d.start(i); err != nil {
			return couldNot
		}
	}
	if !d.ready(20 * time.Second) {
		return couldNot
	}
	pick := func(v ...float64) float64 { return v[rand.IntN(len(v))] }
	words := []string{"a", strings.Repeat("ü", 60), "solve-term", "\u0000\u0001", "a/b c", strings.Repeat("\"", 120)}
	var ids []string
	until := time.Now().Add(100 * time.Second)
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("req-%d", rand.Uint64())
		if rand.IntN(4) == 0 {
			id = "req-" + strings.Repeat("7", 20) + fmt.Sprintf("%012d", i)
		}
		s := sweep(id, int(pick(1, 2, 3, 5, 17, 300, 1000, 100000)), pick(1e-12, 1e-7, 0.01, 0.5, 1, 4, 64, 63.9999999), pick(0, 1e-9, 0.1, 2, 512))
		s.Shape = []string{"sweep", "daemon", "ensemble"}[rand.IntN(3)]
		s.Urgency = []string{"prod", "urgent", "standard", "best_effort"}[rand.IntN(4)]
		s.Lane, s.Bundle = words[rand.IntN(len(words))], words[rand.IntN(len(words))]
		s.ImageGB = pick(0, 1e-300, 0.1, 1, 40)
		s.SamePlace, s.Apart, s.Standby = rand.IntN(3) == 0, rand.IntN(3) == 0, rand.IntN(2) == 0
		s.ExpectedS, s.SnapshotEvery, s.SnapshotS = pick(0, 1e-9, 1, 30, 1e9), pick(0, 1e-9, 5, 1e9), pick(0, 1e-9, 1, 3, 1e9)
		if rand.IntN(2) == 0 {
			due := pick(0, 1e-9, 10, 100, 1e9)
			s.DueS = &due
		}
		if rand.IntN(3) == 0 {
			s.Kits = [][]string{{"moa"}, {"kereru"}, {"tui", "moa"}, {"none"}}[rand.IntN(4)]
		}
		if rand.IntN(4) == 0 {
			site := []string{"akl-dc", "chc-dc", "nowhere"}[rand.IntN(3)]
			s.Site = &site
		}
		d.users.mu.Lock()
		d.users.specs[s.ID], d.users.runTimes[s.ID] = s, time.Duration(pick(0, 0.1, 3, 20)*float64(time.Second))
		d.users.mu.Unlock()
		status, body := d.users.ask(i, "POST", "/v1/jobs", s, 5*time.Second)
		record.logf("submit %+v -> %d %s", *s, status, show(body))
		if status == 201 {
			ids = append(ids, id)
		}
		if len(ids) > 12 {
			n := rand.IntN(len(ids))
			d.users.cancel(i, ids[n])
			ids = append(ids[:n], ids[n+1:]...)
		}
		for j := range d.nodes {
			if !d.running(j) {
				record.printf("controller %d ended", j)
				return broken
			}
		}
		time.Sleep(400 * time.Millisecond)
		if i%25 == 0 {
			line := ""
			for _, nd := range d.nodes {
				b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", nd.process.Process.Pid))
				for l := range strings.Lines(string(b)) {
					if strings.HasPrefix(l, "VmRSS") {
						line += strings.Fields(l)[1] + " "
					}
				}
			}
			record.printf("%d submitted, rss %s, twice %d, leader %s", i, line, len(d.checker.twice), d.state.leader())
		}
	}
	return held
}
