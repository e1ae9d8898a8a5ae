// Command goldcrest-node is one VM of a deployment on the users' machines: it takes
// callers' requests, the directory's questions and the readiness checks.
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

// logLines is how many log lines wait for standard output; more are dropped and
// counted, so that a reader that stands still never holds up a request.
const logLines = 4096

// logTime gives lines of several VMs an order within a second.
const logTime = "2006-01-02T15:04:05.000Z07:00"

type cli struct {
	Settings string `help:"Path of the machine's settings file." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
	Metrics  int    `name:"metrics-port" help:"Port of metrics and the state dump." default:"9464"`
	Level    string `help:"Least level of log lines." default:"info" enum:"debug,info,warn,error"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("goldcrest-node"), kong.Description("One VM before callers and endpoints."))
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
	// Taken first of all: a SIGHUP that nobody takes ends the process, and with it each
	// answer under way.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	registry := prometheus.NewRegistry()
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "goldcrest_log_lines_dropped_total", Help: "Log lines that standard output did not take in time.",
	})
	registry.MustRegister(dropped)
	out := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) { dropped.Add(float64(missed)) })
	defer out.Close()
	lvl, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	zerolog.DurationFieldInteger = true
	zerolog.TimeFieldFormat = logTime
	log := zerolog.New(out).Level(lvl).With().Timestamp().Str("vm", s.VM).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(s, platform.NewStore(s.Store, registry), edge(), registry, log)
	if err != nil {
		return err
	}
	go follow(ctx, hup, n, c.Settings, log)
	return n.Run(ctx)
}

// lookEvery is how often the settings file is read: it may change without a signal.
const lookEvery = 3 * time.Second

// follow takes changes of the settings file, on SIGHUP at once. A file that can't be
// read or holds a wrong value changes nothing.
func follow(ctx context.Context, hup <-chan os.Signal, n *node.Node, path string, log zerolog.Logger) {
	t := time.NewTicker(lookEvery)
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
		now, err := os.ReadFile(path)
		if err == nil && bytes.Equal(now, last) && !signalled {
			continue
		}
		last = now
		s, err := platform.ReadSettings(path)
		s.MetricsPort = n.MetricsPort()
		if err != nil {
			log.Error().Err(err).Msg("settings not taken, the old ones hold")
			continue
		}
		n.Reload(s)
	}
}

func edge() node.Edge {
	return node.Edge{
		Names:         platform.Names(),
		ReadyPath:     platform.PathReady,
		DirectoryPath: platform.PathResolve,
		DataCentreOf:  func(r *http.Request) string { return platform.ReadQuestion(r).DataCentre },
		WriteAddresses: func(w http.ResponseWriter, addresses []string, ttl time.Duration) {
			w.Header().Set("Content-Type", "application/json")
			// A caller that left takes no answer; there is nothing to do about it.
			_ = json.NewEncoder(w).Encode(platform.Addresses{Addresses: addresses, TTL: ttl.Seconds()})
		},
	}
}
