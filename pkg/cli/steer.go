package cli

import (
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/steer"
	"github.com/tamarackswitch/tamarackswitch/platform"
)

func steerCommand() *cobra.Command {
	var file, pathVariable string
	c := &cobra.Command{
		Use:   "steer --settings FILE",
		Short: "Run an entry host on a platform that delivers tables and servers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if pathVariable != "" {
				file = os.Getenv(pathVariable)
			}
			if file == "" {
				return result.New(result.Usage, "--settings or --settings-env must name a settings file")
			}
			// The handler is installed before the settings are read, because SIGHUP
			// ends a process that does not handle it.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			cfg, err := steer.LoadSettings(file)
			if err != nil {
				return err
			}
			logger := newLogger(cmd.OutOrStdout(), cfg.Log.Level)
			host := steer.New(cfg, platform.Names(), platform.NewSource(cfg.Platform.Address), logger)
			stdlog.SetFlags(0)
			stdlog.SetOutput(host.LibraryLog())
			go reloadOnHangup(hangups, host, file)
			if err := host.Start(); err != nil {
				return err
			}
			// Platforms may repeat SIGTERM while the host shuts down, and send SIGKILL at
			// the end of the grace period. SIGINT comes from a person.
			return runUntilSignal(cmd.Context(), host, syscall.SIGINT)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file in TOML")
	c.Flags().StringVar(&pathVariable, "settings-env", "", "environment variable that holds the path of the settings file")
	return c
}

// reloadOnHangup reloads the settings at each SIGHUP. It keeps running while the
// host shuts down, because an unhandled SIGHUP would end the process.
func reloadOnHangup(hangups <-chan os.Signal, host *steer.Host, file string) {
	for range hangups {
		cfg, err := steer.LoadSettings(file)
		if err != nil {
			host.ReloadFailed(err)
			continue
		}
		host.Reload(cfg)
	}
}
