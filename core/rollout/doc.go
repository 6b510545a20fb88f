// Package rollout decides how the traffic of a service moves to endpoints of another version: how large a share they get, from what
// was seen of them, and when the order is complete or is reverted. It knows no network, and times are passed in.
package rollout
