package cli

import (
	"bytes"
	"fmt"
	"os"
	"regexp"

	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/steer"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings, routes and pools files, and their references to each other",
		Long:  "Check settings, routes and pools files. Given routes and pools, check that the pool of every route exists. Given settings and pools, check that every backend server is in a failure domain of the topology.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var c checkedFiles
			for _, file := range files {
				kind, err := c.checkFile(file)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s ok\n", file, kind)
			}
			return c.checkConsistency()
		},
	}
}

var (
	routeHeader = regexp.MustCompile(`(?m)^\s*\[\[route\]\]`)
	poolHeader  = regexp.MustCompile(`(?m)^\s*\[\[pool\]\]`)
	// steerHeader occurs only in settings files of the steer command.
	steerHeader = regexp.MustCompile(`(?m)^\s*\[regions\]`)
)

// checkedFiles holds the parsed contents of the files, by kind; a kind that was
// not given is nil.
type checkedFiles struct {
	settings []*settings.Settings
	routes   *tables.Routes
	pools    *tables.Pools
}

// checkFile parses one file and returns its kind. The kind is recognized by a
// TOML table header: [[route]], [[pool]] or [regions], in this order. A file
// with none of them is parsed as settings of the entry command.
func (c *checkedFiles) checkFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", result.New(result.SettingsInvalid, "%v", err)
	}
	switch {
	case routeHeader.Match(text):
		t, err := tables.ParseRoutes(file, text)
		c.routes = &t
		return "routes", err
	case poolHeader.Match(text):
		t, err := tables.ParsePools(file, text)
		c.pools = &t
		return "pools", err
	case steerHeader.Match(text):
		_, err := steer.ParseSettings(file, text)
		return "steer settings", err
	case len(bytes.TrimSpace(text)) == 0:
		return "", result.New(result.SettingsInvalid, "%s: the file is empty", file)
	}
	cfg, err := settings.Parse(file, text)
	c.settings = append(c.settings, cfg)
	return "settings", err
}

// checkConsistency checks the references between the files.
func (c *checkedFiles) checkConsistency() error {
	if c.routes != nil && c.pools != nil {
		if err := tables.CheckJoin(*c.routes, *c.pools); err != nil {
			return err
		}
	}
	if c.pools == nil {
		return nil
	}
	for _, cfg := range c.settings {
		if err := checkDomains(cfg, *c.pools); err != nil {
			return err
		}
	}
	return nil
}

// checkDomains returns an error for a backend server whose failure domain is
// not in the topology of the settings. No entry host would ever send requests
// to it.
func checkDomains(s *settings.Settings, pools tables.Pools) error {
	for _, p := range pools.Pools {
		for _, server := range p.Servers {
			if s.RegionOf(server.Domain) == "" {
				return result.New(result.TableInvalid, "pool %q: server %s: %q is not a topology.domain of host %q",
					p.Name, server.Address, server.Domain, s.Host.Name)
			}
		}
	}
	return nil
}
