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

// exampleConfig stands for LoadConfig with the platform's settings file.
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

// A node serves on a simulated network until its context ends. On the machine's own
// network Options.Net is left out.
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
		answer, err := client.Get("http://10.0.0.1:8080/ready")
		if err != nil {
			time.Sleep(10 * time.Millisecond) // it doesn't listen yet
			continue
		}
		answer.Body.Close()
		fmt.Println("ready:", answer.Status)
		break
	}

	stop()
	fmt.Println("ended:", <-ended)
	// Output:
	// ready: 200 OK
	// ended: <nil>
}

// Run names the address that can't be bound; trying again helps once it is free.
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
	if failed, ok := errors.AsType[*lilaclead.ListenError](err); ok {
		fmt.Println(failed.Setting, failed.Addr)
	}
	// Output: peer_bind 10.0.0.1:8081
}
