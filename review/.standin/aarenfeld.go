package main

// aarenfeld is a deployment like that of the meters: three controllers in three zones, long leases.
func aarenfeld() shape {
	zones := []string{"aarau-nord", "brugg-sued", "rathaus-keller"}
	return shape{
		zones:   zones,
		teams:   "[[settings.teams]]\nname = \"netzbetrieb\"\ncpus = 8.0\ncpus_max = 16.0\ngpus = 0.0\ngpus_max = 0.0",
		reportS: 3, leaseS: 45, cancelS: 70,
		rps: 150, writeRPS: 50, valueKB: 32, txnOps: 12,
		cores: 0.24, memoryMB: 342, fdLimit: 5000,
		types: []machineType{
			{Name: "klein4", CPUs: 4, RAM: 32, LocalGB: 50, PullGBPS: 0.25, Rate: 0.28, LowPrice: 0.12, ReadyS: 35, Sites: zones, bootS: 1, speedGBPS: 0.25},
		},
		capacity: 32, controllers: 3, listLagS: 4,
	}
}
