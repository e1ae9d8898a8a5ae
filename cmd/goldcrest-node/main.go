// Command goldcrest-node runs one VM of a deployment on the users' machines. It serves
// callers' requests, address queries to the directory and readiness checks.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"goldcrestfork/gateway/node"
	"goldcrestfork/platform"
)

// logBufferLines is the number of log lines that are buffered for standard output. Further
// lines are dropped and counted, so that a blocked reader never delays a request.
const logBufferLines = 4096

// logTimeFormat has milliseconds, so that the log lines of several VMs can be ordered
// within a second.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// cli defines the command line.
type cli struct {
	Settings string `help:"Path of the machine's settings file." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
	Metrics  int    `name:"metrics-port" help:"Port of metrics and the state dump." default:"9464"`
	Level    string `help:"Least level of log lines." default:"info" enum:"debug,info,warn,error"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("goldcrest-node"), kong.Description("Runs one VM, which forwards callers' requests to endpoints."))
	if c.Settings == "" {
		c.Settings = platform.SettingsPath()
	}
	s, err := platform.ReadSettings(c.Settings)
	k.FatalIfErrorf(err)
	if c.Check {
		return
	}
	s.MetricsPort = c.Metrics
	k.FatalIfErrorf(run(s, c))
}

func run(s node.Settings, c cli) error {
	// The handler of SIGHUP is installed first, because an unhandled SIGHUP ends the
	// process and every answer in progress.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	registry := prometheus.NewRegistry()
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "goldcrest_log_lines_dropped_total", Help: "Log lines dropped because standard output was too slow.",
	})
	registry.MustRegister(dropped)
	out := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) { dropped.Add(float64(missed)) })
	defer out.Close()
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	zerolog.DurationFieldInteger = true
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(out).Level(level).With().Timestamp().Str("vm", s.VM).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(s, platform.NewStore(s.Store, registry), newEdge(), registry, log)
	if err != nil {
		return err
	}
	go watchSettings(ctx, hup, n, c.Settings, log)
	return n.Run(ctx)
}

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsPollInterval = 3 * time.Second

// watchSettings applies changes of the settings file until ctx ends, on SIGHUP at once. A
// file that can't be read or has a wrong value changes nothing.
func watchSettings(ctx context.Context, hup <-chan os.Signal, n *node.Node, path string, log zerolog.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn().Err(err).Msg("settings can't be read")
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		current, err := os.ReadFile(path)
		if err == nil && bytes.Equal(current, last) && !signalled {
			continue
		}
		last = current
		s, err := platform.ReadSettings(path)
		s.MetricsPort = n.MetricsPort()
		if err != nil {
			log.Error().Err(err).Msg("settings not taken, the old ones hold")
			continue
		}
		n.Reload(s)
	}
}

// newEdge returns the header names, paths and message formats of the platform.
func newEdge() node.Edge {
	return node.Edge{
		Names:         platform.Names(),
		ReadyPath:     platform.PathReady,
		DirectoryPath: platform.PathResolve,
		DataCentreOf:  func(r *http.Request) string { return platform.ReadDirectoryQuery(r).DataCentre },
		WriteAddresses: func(w http.ResponseWriter, addresses []string, ttl time.Duration) {
			w.Header().Set("Content-Type", "application/json")
			// Encoding fails if the caller has disconnected, which needs no handling.
			_ = json.NewEncoder(w).Encode(platform.Addresses{Addresses: addresses, TTL: ttl.Seconds()})
		},
	}
}
