// Command goldcrest-node is one VM of a deployment on the users' machines: it takes
// callers' requests, the directory's questions and the readiness checks.
package main

import (
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

type cli struct {
	Settings string `help:"Path of the machine's settings file." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
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
	k.FatalIfErrorf(run(s, c.Level))
}

func run(s node.Settings, level string) error {
	registry := prometheus.NewRegistry()
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "goldcrest_log_lines_dropped_total", Help: "Log lines that standard output did not take in time.",
	})
	registry.MustRegister(dropped)
	out := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) { dropped.Add(float64(missed)) })
	defer out.Close()
	lvl, err := zerolog.ParseLevel(level)
	if err != nil {
		return err
	}
	zerolog.DurationFieldInteger = true
	log := zerolog.New(out).Level(lvl).With().Timestamp().Str("vm", s.VM).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(s, platform.NewStore(s.Store, registry), edge(), registry, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
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
