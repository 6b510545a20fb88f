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

// tlsSources holds the certificates of the listeners by listener name. A listener without an entry does not use TLS.
type tlsSources map[string]*certs.Source

// provideTLS loads the certificates. Later reloads and their failures are logged and counted.
func provideTLS(i do.Injector) (tlsSources, error) {
	log, reg := do.MustInvoke[logr.Logger](i), do.MustInvoke[metrics.Registry](i)
	sources := tlsSources{}
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
		sources[l.name] = s
	}
	return sources, nil
}

// serverConfig returns the TLS configuration of a listener, or nil if it does not use TLS.
func (s tlsSources) serverConfig(name string) *tls.Config {
	if src := s[name]; src != nil {
		return src.ServerConfig()
	}
	return nil
}

// clientConfig returns the TLS configuration of connections to other instances, or nil if they do not use TLS.
func (s tlsSources) clientConfig() func(host string) *tls.Config {
	if src := s["peer"]; src != nil {
		return src.ClientConfig
	}
	return nil
}

// watch reloads the certificate files when they change, until ctx ends.
func (s tlsSources) watch(ctx context.Context) {
	for _, src := range s {
		go src.Watch(ctx)
	}
}
