// Command gorseledge is one real node: it places long-lived connections of clients on hosts.
package main

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"gorseledge/internal/sockets"
)

func main() {
	os.Exit(run())
}

func run() int {
	// Before all else: a signal that nothing waits for ends the program.
	leave, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	// Guards against a slow reader of the log holding the node up: lines are dropped first.
	out := diode.NewWriter(os.Stderr, 4096, 10*time.Millisecond, nil)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Logger()
	config, err := sockets.ReadConfig()
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return 1
	}
	log = log.With().Str("node", config.Name).Logger()
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	asked := sockets.Signals{Leave: leave, Reload: reload}
	if err := sockets.Run(context.Background(), config, log, asked); err != nil {
		log.Error().Err(err).Msg("failed")
		return 1
	}
	log.Info().Msg("left")
	return 0
}
