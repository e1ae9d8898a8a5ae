package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"goldcrestfork/gateway/explain"
)

// errNoRequest is returned when no log line has the id of the request.
var errNoRequest = errors.New("no log line has the id of this request")

type explainRequest struct {
	ID   string   `arg:"" help:"The request's id."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of goldcrest-node, of as many VMs as there are."`
}

// Run prints the outcome of a request, its cause, and the state that the request's
// VM knew shortly before.
func (e *explainRequest) Run(a *app) error {
	log, err := readLogs(a, e.Logs)
	if err != nil {
		return err
	}
	found, err := log.Write(a.out, e.ID)
	if err != nil {
		return err
	}
	if !found {
		return errNoRequest
	}
	return nil
}

type sessionMoves struct {
	Pause time.Duration `help:"Longest pause within a session, as the machines' settings give it." required:""`
	Logs  []string      `arg:"" type:"existingfile" help:"Log files of goldcrest-node, of all VMs."`
}

// Run lists the requests that ran on another model version than the previous request
// of their session.
func (s *sessionMoves) Run(a *app) error {
	log, err := readLogs(a, s.Logs)
	if err != nil {
		return err
	}
	return explain.WriteMoves(a.out, log.Moves(s.Pause))
}

// readLogs reads log files of one or more VMs. It prints the number of lines that
// are not log lines of a VM.
func readLogs(a *app, paths []string) (*explain.Log, error) {
	log := new(explain.Log)
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		err = log.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	if log.Unreadable > 0 {
		fmt.Fprintf(a.err, "goldcrest: %d lines are not log lines of a VM\n", log.Unreadable)
	}
	return log, nil
}
