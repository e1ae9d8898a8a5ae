package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/router/settings"
)

type checkSettings struct {
	File string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
}

// Run checks a settings file.
func (c *checkSettings) Run(a *app) error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Fprintln(a.out, c.File, "is good")
	return nil
}

type checkConfig struct {
	Files []string `arg:"" type:"existingfile" help:"Configuration files, JSON with comments; checked together."`
}

// Run checks that the objects of all files form a valid configuration, and prints
// the configuration's warnings.
func (c *checkConfig) Run(a *app) error {
	objects, err := readObjects(c.Files)
	if err != nil {
		return err
	}
	s, problems := config.Assemble(objects)
	if len(problems) > 0 {
		return config.Problems(problems)
	}
	for _, w := range config.Warnings(s) {
		fmt.Fprintln(a.out, "warning:", w)
	}
	fmt.Fprintf(a.out, "%d objects are good together\n", len(objects))
	return nil
}

// readObjects reads the objects of all files. If some are invalid, the error lists
// the problems of all files.
func readObjects(files []string) ([]config.Object, error) {
	var all []config.Object
	var problems config.Problems
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		objects, err := config.Parse(file, data)
		if found, ok := err.(config.Problems); ok {
			problems = append(problems, found...)
		}
		all = append(all, objects...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return all, nil
}

type certificates struct {
	Directory string   `arg:"" type:"path" help:"Directory to write to; made if it is missing."`
	VMs       []string `arg:"" name:"vms" help:"Names of the VMs, as in their settings."`
}

// Run writes the certificate authority to ca.pem, and each VM's certificate and key
// to NAME.pem and NAME.key.
func (c *certificates) Run(a *app) error {
	set, err := peer.NewTrialSet(time.Now(), c.VMs...)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return err
	}
	files := map[string][]byte{"ca.pem": set.CA}
	for name, vm := range set.VMs {
		if filepath.Base(name) != name {
			return config.Problems{{Field: "vms", Got: name, Want: "a name without '/'"}}
		}
		files[name+".pem"], files[name+".key"] = vm.Certificate, vm.Key
	}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(c.Directory, name), data, 0o600); err != nil {
			return err
		}
	}
	fmt.Fprintf(a.out, "certificates of %d VMs are in %s, good for a week\n", len(set.VMs), c.Directory)
	return nil
}
