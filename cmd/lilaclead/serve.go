package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lilaclead"
)

type (
	// serveCmd serves as a controller.
	serveCmd struct{}
	// checkCmd checks the settings and features files.
	checkCmd struct{}
)

// Run serves until the process is interrupted or terminated.
func (serveCmd) Run(c *cli) error {
	cfg, features, err := c.loadFiles()
	if err != nil {
		return err
	}
	lilaclead.LimitProcess(cfg)
	node, err := lilaclead.New(cfg, lilaclead.Options{Features: features})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.Run(ctx)
}

// Run prints the value of every feature, or returns every error in both files.
func (checkCmd) Run(c *cli, out *output) error {
	_, features, err := c.loadFiles()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out.results, "ok\nfeatures: %v\n", features)
	return err
}

// errNoConfig reports that the command needs a settings file.
var errNoConfig = errors.New("--config FILE is missing")

func (c *cli) loadConfig() (*lilaclead.Config, error) {
	if c.Config == "" {
		return nil, errNoConfig
	}
	return lilaclead.LoadConfig(c.Config)
}

// loadFeatures reads the features file. It fails if the command line names a file that doesn't
// exist. The default file may be missing.
func (c *cli) loadFeatures() (lilaclead.Features, error) {
	path := c.Features
	if path == "" {
		program, err := os.Executable()
		if err != nil {
			return lilaclead.Features{}, fmt.Errorf("find the program's path, for the features file beside it: %w", err)
		}
		path = lilaclead.FeaturesFilePathFor(program)
	} else if _, err := os.Stat(path); err != nil {
		return lilaclead.Features{}, fmt.Errorf("features file: %w", err)
	}
	return lilaclead.LoadFeatures(path)
}

// loadFiles reads the settings and features files. The error joins the errors of both.
func (c *cli) loadFiles() (*lilaclead.Config, lilaclead.Features, error) {
	cfg, configErr := c.loadConfig()
	features, featuresErr := c.loadFeatures()
	return cfg, features, errors.Join(configErr, featuresErr)
}
