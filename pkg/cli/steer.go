package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/steer"
	"github.com/tamarackswitch/tamarackswitch/platform"
)

func steerCommand() *cobra.Command {
	var file, env string
	c := &cobra.Command{
		Use:   "steer --settings FILE",
		Short: "Run an entry host on a platform that delivers tables and servers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if env != "" {
				file = os.Getenv(env)
			}
			if file == "" {
				return result.New(result.Usage, "--settings or --settings-env must name a settings file")
			}
			cfg, err := steer.LoadSettings(file)
			if err != nil {
				return err
			}
			logger := newLogger(cmd.OutOrStdout(), cfg.Log.Level)
			host := steer.New(cfg, platform.Names(), platform.NewSource(cfg.Platform.Address, logger), logger)
			stop := reloadOnHangup(host, file)
			defer stop()
			if err := host.Start(); err != nil {
				return err
			}
			return runUntilSignal(cmd.Context(), host)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file in TOML")
	c.Flags().StringVar(&env, "settings-env", "", "environment variable that holds the path of the settings file")
	return c
}

// reloadOnHangup reads the settings again on each SIGHUP until stop is called.
func reloadOnHangup(host *steer.Host, file string) (stop func()) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	go func() {
		for range received {
			cfg, err := steer.LoadSettings(file)
			if err != nil {
				host.ReloadFailed(err)
				continue
			}
			host.Reload(cfg)
		}
	}()
	return func() {
		signal.Stop(received)
		close(received)
	}
}
