package main

// kowhai is a deployment like that of the timetables: three controllers in two zones, short leases.
func kowhai() shape {
	zones := []string{"akl-dc", "chc-dc"}
	return shape{
		zones:   zones,
		teams:   "[[settings.teams]]\nname = \"timetable-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0",
		reportS: 2, leaseS: 16, cancelS: 41,
		rps: 200, writeRPS: 20, valueKB: 16, txnOps: 16,
		cores: 0.144, memoryMB: 98, fdLimit: 900,
		types: []machineType{
			{Name: "kereru", CPUs: 4, RAM: 16, LocalGB: 70, PullGBPS: 0.8, Rate: 0.26, LowPrice: 0.1, ReadyS: 15, Sites: zones, bootS: 2, speedGBPS: 0.8},
			{Name: "tui", CPUs: 16, RAM: 64, LocalGB: 40, PullGBPS: 1, Rate: 0.99, LowPrice: 0.38, ReadyS: 20, Sites: zones, bootS: 2, speedGBPS: 1},
			{Name: "moa", CPUs: 64, RAM: 512, LocalGB: 50, PullGBPS: 0.3, Rate: 4.79, LowPrice: 1.83, ReadyS: 15, Sites: zones, bootS: 2, speedGBPS: 0.3},
		},
		capacity: 32, controllers: 3, listLagS: 8,
	}
}

// sweep returns an array of the timetables' team.
func sweep(id string, parts int, cpus, ram float64) *jobSpec {
	return &jobSpec{ID: id, Lane: "solve-term", Owner: "timetable-ops", Shape: "sweep", Urgency: "standard", Parts: parts,
		CPUs: cpus, RAM: ram, Bundle: "img-07", ImageGB: 0.3, Standby: true, ExpectedS: 20}
}
