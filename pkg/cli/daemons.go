package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/blocks"
	"github.com/tamarackswitch/tamarackswitch/pkg/entry"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
	standin "github.com/tamarackswitch/tamarackswitch/pkg/standin/platform"
)

func entryCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run an entry host",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := settings.Load(file)
			if err != nil {
				return err
			}
			store, err := platform.NewClient(platform.ClientOptions{
				Address: cfg.Platform.URL, Token: cfg.Platform.Token, Timeout: cfg.Platform.Timeout.Std(),
			})
			if err != nil {
				return result.New(result.SettingsInvalid, "%s: platform.url: %v", file, err)
			}
			host, err := entry.New(cfg, store, newLogger(cmd.ErrOrStderr(), cfg.Log.Level))
			if err != nil {
				return err
			}
			if err := host.Start(); err != nil {
				return err
			}
			return runUntilSignal(cmd.Context(), host, syscall.SIGINT, syscall.SIGTERM)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file in TOML")
	_ = c.MarkFlagRequired("settings")
	return c
}

// daemon is a running entry host: an *entry.Host or a *steer.Host.
type daemon interface {
	Dead() <-chan struct{}
	Stop() error
	Shutdown(ctx context.Context) error
}

// runUntilSignal starts a graceful shutdown of the host at the first signal and
// forces it to stop at the next one that is among forcing.
func runUntilSignal(ctx context.Context, host daemon, forcing ...os.Signal) error {
	signals := terminationSignals()
	select {
	case <-signals:
	case <-host.Dead():
		return host.Stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for !slices.Contains(forcing, <-signals) {
		}
		cancel()
	}()
	return host.Shutdown(ctx)
}

func platformCommand() *cobra.Command {
	var listen, tablesDir, token, blocksFile string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's object API",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			server, err := standin.New(standin.Options{Token: token, Directory: tablesDir})
			if err != nil {
				return result.Wrap(err, result.SettingsInvalid, "initial tables")
			}
			if err := loadBlocks(cmd.Context(), server, blocksFile); err != nil {
				return err
			}
			return serveUntilSignal(cmd, listen, server)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "IP number and port")
	c.Flags().StringVar(&tablesDir, "tables", "", "directory with the initial routes.toml and pools.toml")
	c.Flags().StringVar(&blocksFile, "blocks", "", "file with client blocks, lines \"PREFIX SITE DOMAIN\"")
	c.Flags().StringVar(&token, "token", "", "bearer token that clients must send")
	return c
}

// loadBlocks reads client blocks, which assign ranges of client addresses to
// sites, from file and writes them to the platform store. It does nothing if file
// is "".
func loadBlocks(ctx context.Context, store platform.Store, file string) error {
	if file == "" {
		return nil
	}
	f, err := os.Open(file)
	if err != nil {
		return result.New(result.SettingsInvalid, "%v", err)
	}
	defer f.Close()
	clientBlocks, err := blocks.Parse(filepath.Base(file), f)
	if err != nil {
		return err
	}
	objects, err := blocks.Encode(clientBlocks)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if _, err := store.Put(ctx, o.Key, o.Value, 0); err != nil {
			return result.Wrap(err, result.PlatformDown, "write client blocks to object %s", o.Key)
		}
	}
	return nil
}

func backendCommand() *cobra.Command {
	var listen string
	var cfg backend.Config
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in for a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Name == "" {
				cfg.Name = listen
			}
			return serveUntilSignal(cmd, listen, backend.New(cfg))
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "IP number and port")
	c.Flags().StringVar(&cfg.Name, "name", "", "server name in answers; default is the listen address")
	c.Flags().IntVar(&cfg.Slots, "slots", 4, "maximum number of requests processed concurrently")
	c.Flags().DurationVar(&cfg.Service, "service", 5*time.Millisecond, "mean service time")
	c.Flags().DurationVar(&cfg.ColdStart, "cold-start", 0, "period after the start in which service times are longer")
	c.Flags().Uint64Var(&cfg.Seed, "seed", 1, "seed of the random service times")
	return c
}

func serveUntilSignal(cmd *cobra.Command, listen string, handler http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return result.Wrap(err, result.ListenFailed, "--listen")
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-terminationSignals()
		_ = srv.Close()
	}()
	doc, _ := json.Marshal(map[string]string{"message": "listening", "address": l.Addr().String()})
	fmt.Fprintln(cmd.ErrOrStderr(), string(doc))
	if err := srv.Serve(l); err != http.ErrServerClosed {
		return result.Wrap(err, result.Internal, "serve")
	}
	return nil
}
