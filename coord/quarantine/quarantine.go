// Package quarantine names the contents of requests, so that those which bring down the
// endpoints that run them are known again.
package quarantine
