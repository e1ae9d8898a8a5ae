// Package processtest tests guarantees that span several processes. The tests build
// the daemons and run VMs and stand-ins for the platform, engines and services as
// processes on the loopback interface, which they kill, suspend, stop and replace.
package processtest
