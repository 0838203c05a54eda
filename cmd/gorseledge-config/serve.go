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

// maxProcessors bounds the processors that a server uses. It has too little work to gain from more.
const maxProcessors = 2

// serveCommand returns the command that runs a control server.
func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run the control server that a control file configures",
		Args:  cobra.ExactArgs(1),
		Long:  "Runs until SIGTERM. The log goes to standard error, one JSON object per line.",
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := controlfile.Read(args[0])
			if err != nil {
				return err
			}
			return runServer(cmd.Context(), config)
		},
	}
}

// runServer runs the server of a control file until the context ends, and logs that it has stopped.
func runServer(ctx context.Context, config controlfile.Config) error {
	runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxProcessors))
	// The writer drops lines if the process that reads the log is slow, so that this process never blocks the server.
	out := logwriter.New(os.Stderr)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Str("server", config.Name).Logger()
	if err := serve(ctx, config, log); err != nil {
		return &refusedError{cause: err}
	}
	log.Info().Msg("control server stopped")
	return nil
}

// serve checks and opens the log, listens on the server's address, and answers requests until the context ends.
func serve(ctx context.Context, config controlfile.Config, log zerolog.Logger) error {
	if err := checkLog(ctx, config.Directory); err != nil {
		return err
	}
	store, stored, err := feedstore.Open(config.Directory)
	if err != nil {
		return err
	}
	defer store.Close()
	own, _ := config.Server(config.Name) // controlfile.Read has checked that the entry exists
	listener, err := net.Listen("tcp", own.Address)
	if err != nil {
		return err
	}
	version := stored.State.Version
	log.Info().Str("address", own.Address).Str("region", own.Region).Str("writer", config.Writer).
		Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Int("history", len(stored.History)).
		Msg("control server listening")
	server := feedhttp.NewServer(feedhttp.ServerOptions{
		Fleet:  config.Fleet,
		Keys:   config.Keys,
		Config: serverConfig(config),
		Via:    config.Via,
		Log:    log,
		Store:  store,
		Stored: stored,
		Check:  livesettings.Check,
	})
	return server.Serve(ctx, listener)
}

// serverConfig returns the feed configuration of the server that a control file names.
func serverConfig(config controlfile.Config) configfeed.ServerConfig {
	own, _ := config.Server(config.Name)
	c := configfeed.ServerConfig{
		Name:   own.Name,
		Region: own.Region,
		Writer: config.Writer,
		Seed:   uint64(time.Now().UnixNano()),
	}
	for _, s := range config.Servers {
		c.Servers = append(c.Servers, configfeed.ServerAddress{Name: s.Name, Address: s.Address, Region: s.Region})
	}
	return c
}
