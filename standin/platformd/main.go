// Command platformd serves a stand-in for the platform's object API over HTTP.
package main

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"goldcrestfork/standin/store"
)

type settings struct {
	Listen string        `default:"127.0.0.1:7700" help:"Address to serve on; port 0 takes a free one."`
	Delay  time.Duration `default:"3ms" help:"Delay of each call."`
	Writes float64       `default:"500" help:"Writes a second; 0 lifts the cap."`
	Reads  float64       `default:"2000" help:"Reads a second; 0 lifts the cap."`
	VMLag  time.Duration `name:"vm-lag" default:"3s" help:"Lag of the list of VMs."`
}

func main() {
	var set settings
	kong.Parse(&set, kong.Description("Stand-in for the platform's object API."))
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	s := store.New()
	s.SetFaults(store.Faults{Delay: set.Delay})
	s.SetRateLimits(set.Writes, set.Reads)
	s.SetVMLag(set.VMLag)
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		log.Fatal().Err(err).Msg("can't listen")
	}
	log.Info().Stringer("address", listener.Addr()).Msg("serving")
	server := http.Server{Handler: store.Handler(s), ReadHeaderTimeout: time.Minute}
	log.Fatal().Err(server.Serve(listener)).Msg("stopped")
}
