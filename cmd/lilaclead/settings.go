package main

import (
	"fmt"
	"net/http"
	"strconv"

	"lilaclead/internal/admin"
	"lilaclead/internal/wire"
)

// settingsCmd reads and changes the operators' settings.
type settingsCmd struct {
	Addr string          `help:"Peer address of any controller." required:"" placeholder:"HOST:PORT"`
	List listSettingsCmd `cmd:"" help:"List all settings with value, default and allowed range."`
	Get  getSettingCmd   `cmd:"" help:"Print one setting."`
	Set  setSettingCmd   `cmd:"" help:"Change one setting on all controllers."`
}

type (
	// listSettingsCmd prints all settings.
	listSettingsCmd struct{}
	// getSettingCmd prints one setting.
	getSettingCmd struct {
		Name string `arg:""`
	}
	// setSettingCmd changes one setting.
	setSettingCmd struct {
		Name  string `arg:""`
		Value string `arg:""`
	}
)

// listSettings requests all settings and their version.
func listSettings(c *cli) (admin.Listing, error) {
	var listing admin.Listing
	err := callAdmin(http.MethodGet, c.Setting.Addr, settingsPath, nil, &listing)
	return listing, err
}

// Run prints all settings, one per line.
func (listSettingsCmd) Run(c *cli, out *output) error {
	listing, err := listSettings(c)
	if err != nil {
		return err
	}
	for _, s := range listing.Settings {
		fmt.Fprintf(out.results, "%-24s %-8v (default %v; %s) %s\n", s.Name, s.Value, s.Default, s.Allowed, s.About)
	}
	return nil
}

// Run prints the value of the setting.
func (cmd getSettingCmd) Run(c *cli, out *output) error {
	listing, err := listSettings(c)
	if err != nil {
		return err
	}
	for _, s := range listing.Settings {
		if s.Name == cmd.Name {
			fmt.Fprintln(out.results, s.Value)
			return nil
		}
	}
	return fmt.Errorf("%s: unknown setting", cmd.Name)
}

// Run changes the setting. It fails if any setting is changed by others in the meantime.
func (cmd setSettingCmd) Run(c *cli, out *output) error {
	listing, err := listSettings(c)
	if err != nil {
		return err
	}
	change := admin.Change{Version: &listing.Version, Set: map[string]any{cmd.Name: parseSetting(cmd.Value)}}
	var changed struct {
		Version wire.Revision `cbor:"version"`
	}
	if err := callAdmin(http.MethodPut, c.Setting.Addr, settingsPath, change, &changed); err != nil {
		return err
	}
	fmt.Fprintf(out.results, "%s = %v, version %d\n", cmd.Name, cmd.Value, changed.Version)
	return nil
}

// parseSetting returns a setting's value as a number if it is one, or else as text.
func parseSetting(text string) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number
	}
	return text
}
