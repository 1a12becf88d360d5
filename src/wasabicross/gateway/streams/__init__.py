"""At which software version resumable streams begin and go on."""
