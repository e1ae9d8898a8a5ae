// Command standin runs a stand-in for one of the systems around goldcrestfork: a model
// engine, a plain service or the rating service. The stand-in for the platform is the
// command platformd.
package main

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"goldcrestfork/standin/backend"
)

// cli defines the command line.
var cli struct {
	Engine struct {
		Versions   []string      `arg:"" help:"Model versions that it serves."`
		TokenDelay time.Duration `default:"5ms" help:"Time between tokens."`
		Cold       bool          `help:"Begin in cold start, which ends with a POST of /warm."`
	} `cmd:"" help:"A model engine's runner."`
	Service struct{} `cmd:"" help:"A plain service that books each POST."`
	Rating  struct{} `cmd:"" help:"The rating service."`

	Listen string `default:"127.0.0.1:0" help:"Address to serve on."`
}

func main() {
	command := kong.Parse(&cli, kong.Name("standin")).Command()
	log := zerolog.New(os.Stderr).With().Timestamp().Str("standin", command).Logger()
	var h http.Handler
	switch command {
	case "service":
		h = backend.NewService().Handler()
	case "rating":
		h = backend.NewRating().Handler()
	default:
		e := backend.NewEngine(cli.Engine.Versions...)
		// The start time distinguishes this process from an earlier one at the same address.
		e.SetIncarnation(int(time.Now().UnixNano()), cli.Engine.Cold)
		e.SetFaults(backend.EngineFaults{TokenDelay: cli.Engine.TokenDelay})
		h = e.Handler()
	}
	l, err := net.Listen("tcp", cli.Listen)
	if err != nil {
		log.Fatal().Err(err).Msg("can't listen")
	}
	log.Info().Stringer("address", l.Addr()).Msg("serving")
	server := http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	log.Fatal().Err(server.Serve(l)).Msg("stopped")
}
