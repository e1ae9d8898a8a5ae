package main

import (
	"errors"
	"fmt"
	"os"

	"goldcrestfork/gateway/explain"
)

// errNoRequest: no log line has the id.
var errNoRequest = errors.New("no log line has this request")

type explainRequest struct {
	ID   string   `arg:"" help:"The request's id."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of goldcrest-node, of as many VMs as there are."`
}

// Run says what became of a request and what its VM believed shortly before.
func (e *explainRequest) Run(a *app) error {
	var log explain.Log
	for _, path := range e.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		err = log.Read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	found, err := log.Write(a.out, e.ID)
	if err != nil {
		return err
	}
	if log.Unreadable > 0 {
		fmt.Fprintf(a.err, "goldcrest: %d lines are no log lines of a VM\n", log.Unreadable)
	}
	if !found {
		return errNoRequest
	}
	return nil
}
