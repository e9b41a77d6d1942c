package lilaclead_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"lilaclead"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
)

// exampleConfig returns the settings that LoadConfig would read from the platform's file.
func exampleConfig() *lilaclead.Config {
	settings := simulator.DefaultSettings()
	settings.Size = 1
	settings.Zones = settings.Zones[:1]
	return &lilaclead.Config{
		HostName:  "worker-0",
		Zone:      settings.Zones[0],
		UserAddr:  "10.0.0.1:8080",
		PeerAddr:  "10.0.0.1:8081",
		Endpoints: config.Endpoints{Cloud: simulator.CloudAddr, State: simulator.KVStoreAddr},
		Settings:  settings,
	}
}

// A node serves on a simulated network until its context ends. To use the machine's own
// network, leave Options.Net out.
func Example() {
	network := simulator.NewNetwork(time.Millisecond)
	node, err := lilaclead.New(exampleConfig(), lilaclead.Options{Net: network.Host("10.0.0.1"), Log: io.Discard})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()

	client := &http.Client{Transport: &http.Transport{DialContext: network.Host("10.1.0.1").Dial}}
	for {
		response, err := client.Get("http://10.0.0.1:8080/ready")
		if err != nil {
			time.Sleep(10 * time.Millisecond) // the node doesn't listen yet
			continue
		}
		response.Body.Close()
		fmt.Println("ready:", response.Status)
		break
	}

	stop()
	fmt.Println("ended:", <-ended)
	// Output:
	// ready: 200 OK
	// ended: <nil>
}

// The ListenError that Run returns names the address that can't be bound. Retrying helps once
// the address is free.
func ExampleListenError() {
	network := simulator.NewNetwork(time.Millisecond).Host("10.0.0.1")
	if _, err := network.Listen("tcp4", "10.0.0.1:8081"); err != nil {
		fmt.Println(err)
		return
	}
	node, err := lilaclead.New(exampleConfig(), lilaclead.Options{Net: network, Log: io.Discard})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = node.Run(context.Background())
	if listenErr, ok := errors.AsType[*lilaclead.ListenError](err); ok {
		fmt.Println(listenErr.Setting, listenErr.Addr)
	}
	// Output: peer_bind 10.0.0.1:8081
}
