package instance

import (
	"context"
	"crypto/tls"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"

	"monsoondale/common/certs"
)

// secure holds the certificates of the listeners by name. A listener without an entry speaks cleartext.
type secure map[string]*certs.Source

// provideSecure reads the certificates. Changes are logged and counted.
func provideSecure(i do.Injector) (secure, error) {
	log, reg := do.MustInvoke[logr.Logger](i), do.MustInvoke[metrics.Registry](i)
	out := secure{}
	for _, l := range do.MustInvoke[*Settings](i).TLS.listeners() {
		if l.files.Cert == "" {
			continue
		}
		reloads := metrics.GetOrRegisterCounter("tls.reloads", reg)
		failures := metrics.GetOrRegisterCounter("tls.failures", reg)
		expires := metrics.GetOrRegisterGauge("tls.expires."+l.name, reg)
		s, err := certs.New(certs.Options{Files: l.files, OnChange: func(m *certs.Material, err error) {
			if err != nil {
				failures.Inc(1)
				log.Error(err, "cannot use the new certificate files; the old certificate stays in force", "listener", l.name)
				return
			}
			reloads.Inc(1)
			expires.Update(m.Expires.Unix())
			log.Info("certificate replaced", "listener", l.name, "expires", m.Expires)
		}})
		if err != nil {
			return nil, errors.Wrapf(err, "tls.%s", l.name)
		}
		expires.Update(s.Get().Expires.Unix())
		out[l.name] = s
	}
	return out, nil
}

// server returns the configuration of a listener, nil for cleartext.
func (s secure) server(name string) *tls.Config {
	if src := s[name]; src != nil {
		return src.ServerConfig()
	}
	return nil
}

// peers returns the configuration of connections to other instances, nil for cleartext.
func (s secure) peers() func(host string) *tls.Config {
	if src := s["peer"]; src != nil {
		return src.ClientConfig
	}
	return nil
}

// watch reads the certificate files at an interval until ctx ends.
func (s secure) watch(ctx context.Context) {
	for _, src := range s {
		go src.Watch(ctx)
	}
}
