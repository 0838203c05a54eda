package main

import (
	"context"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/controlfile"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/configfeed/feedstore"
	"gorseledge/internal/livesettings"
	"gorseledge/internal/logwriter"
)

const maxProcessors = 2 // a control machine has little to do: more would only spread it

func serveCommand() *cobra.Command {
	return &cobra.Command{Use: "serve FILE", Short: "Run the control server of a control file", Args: cobra.ExactArgs(1),
		Long: "Runs until SIGTERM. The log goes to standard error, one JSON object a line.",
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := controlfile.Read(args[0])
			if err != nil {
				return err
			}
			runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxProcessors))
			// Guards against a slow reader of the log holding the server up: lines are dropped first.
			out := logwriter.New(os.Stderr)
			defer out.Close()
			log := zerolog.New(out).With().Timestamp().Str("server", config.Name).Logger()
			if err := serve(cmd.Context(), config, log); err != nil {
				return &refusedError{cause: err}
			}
			log.Info().Msg("stopped")
			return nil
		}}
}

// serve checks and opens the log, then the address, and answers until the context ends.
func serve(ctx context.Context, config controlfile.Config, log zerolog.Logger) error {
	if err := checkLog(ctx, config.Directory); err != nil {
		return err
	}
	store, stored, err := feedstore.Open(config.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	own, _ := config.Server(config.Name) // checked when the file was read
	listener, err := net.Listen("tcp", own.Address)
	if err != nil {
		return err
	}
	version := stored.State.Version
	log.Info().Str("address", own.Address).Str("region", own.Region).Str("writer", config.Writer).
		Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Int("history", len(stored.History)).Msg("serves")
	server := feedhttp.NewServer(feedhttp.ServerOptions{Fleet: config.Fleet, Keys: config.Keys, Via: config.Via, Log: log,
		Config: serverConfig(config), Store: store, Stored: stored, Check: livesettings.Check})
	return server.Serve(ctx, listener)
}

// serverConfig returns what the core is told of a control file.
func serverConfig(config controlfile.Config) configfeed.ServerConfig {
	own, _ := config.Server(config.Name)
	c := configfeed.ServerConfig{Name: own.Name, Region: own.Region, Writer: config.Writer,
		Seed: uint64(time.Now().UnixNano())}
	for _, s := range config.Servers {
		c.Servers = append(c.Servers, configfeed.ServerAddress{Name: s.Name, Address: s.Address, Region: s.Region})
	}
	return c
}
