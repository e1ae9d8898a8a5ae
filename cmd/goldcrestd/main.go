// Command goldcrestd is the entry daemon. All VMs run the same program and differ only
// in their settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"goldcrestfork/router/settings"
	"goldcrestfork/router/vm"
)

// Exit codes of the daemon.
const (
	exitSettings = 2
	exitFailed   = 1
)

// flags defines the command line.
var flags struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
	Check    bool   `help:"Only check the settings; exit 2 when they are refused."`
}

func main() {
	kong.Parse(&flags, kong.Name("goldcrestd"), kong.Description("Entry daemon of goldcrestfork."))
	s, err := settings.Load(flags.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if flags.Check {
		fmt.Println("settings are good")
		return
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	v, err := vm.New(s, log)
	if err == nil {
		err = v.Run(ctx)
	}
	if err != nil {
		log.Error().Err(err).Msg("stopped because of an error")
		os.Exit(exitFailed)
	}
}
