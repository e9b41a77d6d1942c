package compat_test

// The types by which the earlier versions 2d2d3f7 (productionVersion) and 78c1803
// (gangsVersion) decode records and messages. Both versions have the same fields, except
// where a type's name or a comment says otherwise.
type (
	earlierJobRecord struct {
		Spec          earlierJobSpec `cbor:"spec"`
		Status        string         `cbor:"status"`
		AcceptedAt    int64          `cbor:"at"`
		CancelledAt   int64          `cbor:"ended,omitempty"`
		TasksPerChunk int            `cbor:"chunk,omitempty"`
	}
	earlierJobSpec struct {
		ID                 string   `cbor:"nameId"`
		Class              string   `cbor:"lane"`
		Team               string   `cbor:"owner"`
		Kind               string   `cbor:"shape"`
		Priority           string   `cbor:"urgency"`
		Tasks              int      `cbor:"parts"`
		CPUs               float64  `cbor:"cpus"`
		GPUs               float64  `cbor:"cards"`
		MemoryGB           float64  `cbor:"ramGb"`
		Image              string   `cbor:"bundle"`
		ImageGB            float64  `cbor:"imageGb"`
		MachineTypes       []string `cbor:"kits,omitempty"`
		Zone               string   `cbor:"site,omitempty"`
		SameZone           bool     `cbor:"samePlace"`
		Spread             bool     `cbor:"apart"`
		SpotAllowed        bool     `cbor:"standby"`
		ExpectedRunTime    float64  `cbor:"expectedS"`
		CheckpointInterval float64  `cbor:"snapshotEveryS"`
		CheckpointTime     float64  `cbor:"snapshotS"`
		Deadline           float64  `cbor:"dueS,omitempty"`
	}
	earlierActiveAttempt struct {
		_       struct{} `cbor:",toarray"`
		Task    int
		Attempt uint64
		Machine string
	}
	productionChunk struct {
		NextAttempt uint64                 `cbor:"n"`
		Done        []int                  `cbor:"d"`
		Active      []earlierActiveAttempt `cbor:"r"`
	}
	gangsChunk struct {
		NextAttempt   uint64                 `cbor:"n"`
		Done          []int                  `cbor:"d"`
		Active        []earlierActiveAttempt `cbor:"r"`
		SubchunkTasks int                    `cbor:"s,omitempty"` // unknown to 2d2d3f7
	}
	earlierFinalRecord struct {
		Status string `cbor:"status"`
		Done   int    `cbor:"done"`
	}
	earlierLeaseRecord struct {
		Node  string `cbor:"node"`
		Nonce string `cbor:"nonce"`
	}
	earlierMachineSpec struct {
		Name             string   `cbor:"name"`
		CPUs             float64  `cbor:"cpus"`
		GPUs             float64  `cbor:"cards"`
		MemoryGB         float64  `cbor:"ramGb"`
		DiskGB           float64  `cbor:"localGb"`
		FetchGBPerSecond float64  `cbor:"pullGbPerS"`
		OnDemandPrice    float64  `cbor:"rate"`
		SpotPrice        float64  `cbor:"lowPrice"`
		BootTime         float64  `cbor:"readyS"`
		Zones            []string `cbor:"sites"`
	}
	earlierMachineSpecs struct {
		Types []earlierMachineSpec `cbor:"kits"`
	}
	earlierPeerHeartbeat struct {
		From                    string                `cbor:"from"`
		Sequence                uint64                `cbor:"seq"`
		Token                   uint64                `cbor:"token"`
		Leads                   bool                  `cbor:"leads"`
		StateReachable          bool                  `cbor:"serves"`
		ReachableAgents         int                   `cbor:"hears"`
		Delegation              uint64                `cbor:"grants,omitempty"`
		SinceRenewal            int64                 `cbor:"stood,omitempty"`
		Uptime                  int64                 `cbor:"age,omitempty"`
		InFlightLaunchCancelAge int64                 `cbor:"unproven,omitempty"`
		Cancelled               []earlierCancellation `cbor:"cancelled,omitempty"`
		OwnSpan                 int64                 `cbor:"vouches,omitempty"`
		WatermarkAge            int64                 `cbor:"knew,omitempty"`
	}
	earlierCancellation struct {
		Job string `cbor:"j"`
		Age int64  `cbor:"a"`
	}
	// earlierAgentHeartbeat is an agent's heartbeat, which one node relays to another as it
	// is.
	earlierAgentHeartbeat struct {
		Machine    string              `cbor:"host"`
		Addr       string              `cbor:"addr"`
		Type       string              `cbor:"kit"`
		Zone       string              `cbor:"site"`
		Spot       bool                `cbor:"standby"`
		Epoch      uint64              `cbor:"shift"`
		Sequence   uint64              `cbor:"tally"`
		Token      uint64              `cbor:"baton"`
		SpotNotice *float64            `cbor:"warningS"`
		Tasks      []earlierTaskStatus `cbor:"parts"`
	}
	earlierTaskStatus struct {
		Task            string `cbor:"part"`
		Attempt         uint64 `cbor:"try"`
		Phase           string `cbor:"status"`
		Cause           string `cbor:"cause,omitempty"`
		CheckpointSaved bool   `cbor:"saved,omitempty"`
	}
	// earlierCommands is the response to a relayed heartbeat, and what a node asks another
	// to pass on to an agent.
	earlierCommands struct {
		Token    uint64           `cbor:"baton"`
		Epoch    uint64           `cbor:"shift,omitempty"`
		Commands []earlierCommand `cbor:"orders"`
	}
	earlierCommand struct {
		Verb        string   `cbor:"verb"`
		Task        string   `cbor:"part"`
		Attempt     uint64   `cbor:"try"`
		GracePeriod *float64 `cbor:"windDownS,omitempty"`
	}
	earlierRedirect struct {
		Leader string `cbor:"reportsTo,omitempty"`
	}
)
