// Package processtest proves the promises that span processes with the built
// daemons over loopback: VMs, the platform's stand-in, engines and services are
// processes of their own, which the tests kill, freeze, stop and replace.
package processtest
