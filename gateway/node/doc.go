// Package node is one VM of the gateway for opaque requests. It connects the VM's copy of the
// platform's objects (package view), the other VMs (package gossip) and the forwarding of
// requests (package forward) with the VM's listeners, and shuts them down in order.
//
// Lock order: all mutexes of the package are leaves unless their type says otherwise.
package node
