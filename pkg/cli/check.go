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
		Short: "Check settings, routes and pools files, and how those that are given fit together",
		Long:  "Check settings, routes and pools files. Given both tables, check that every route has its pool. Given settings and pools, check that every backend server is in a failure domain of the topology.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var c checked
			for _, file := range files {
				kind, err := c.file(file)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s ok\n", file, kind)
			}
			return c.fit()
		},
	}
}

var (
	routeHeader = regexp.MustCompile(`(?m)^\s*\[\[route\]\]`)
	poolHeader  = regexp.MustCompile(`(?m)^\s*\[\[pool\]\]`)
	// steerHeader is in the settings of the steer command only.
	steerHeader = regexp.MustCompile(`(?m)^\s*\[regions\]`)
)

// checked holds what the files contain; nil if no file of the kind was given.
type checked struct {
	settings []*settings.Settings
	routes   *tables.Routes
	pools    *tables.Pools
}

// file checks one file and returns its kind, which its first header tells.
func (c *checked) file(file string) (string, error) {
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
	s, err := settings.Parse(file, text)
	c.settings = append(c.settings, s)
	return "settings", err
}

// fit checks the files against each other.
func (c *checked) fit() error {
	if c.routes != nil && c.pools != nil {
		if err := tables.CheckJoin(*c.routes, *c.pools); err != nil {
			return err
		}
	}
	if c.pools == nil {
		return nil
	}
	for _, s := range c.settings {
		if err := checkDomains(s, *c.pools); err != nil {
			return err
		}
	}
	return nil
}

// checkDomains reports a backend server in a failure domain that the settings
// do not know. No entry host would ever send requests to it.
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
