// Package node is one VM of the deployment before callers of opaque requests: it
// wires what the VM believes (package view), the other VMs (package gossip) and the
// forwarding of requests (package forward) to the VM's listeners, and stops in order.
//
// Lock order: the package has only leaves.
package node
