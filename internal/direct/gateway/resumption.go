package gateway

// Tags of the metric of resumed streams: who resumes the stream, and whether the endpoint runs the
// version of the software that began it.
const (
	resumedByEntry  = "entry"
	resumedByCaller = "caller"

	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

// countResumption counts an attempt that resumes a stream.
func (g *Gateway) countResumption(by, version string) {
	g.options.Metrics.Tagged(map[string]string{"by": by, "version": version}).Counter("resumptions").Inc(1)
}

// compareVersions compares the versions of the endpoints of two attempts.
func compareVersions(a, b *attempt) string {
	switch {
	case a.endpoint().Version == "" || b.endpoint().Version == "":
		return versionUnknown
	case a.endpoint().Version == b.endpoint().Version:
		return versionSame
	default:
		return versionOther
	}
}
