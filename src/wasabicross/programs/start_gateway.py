"""`wasabicross-gateway`: starts a gateway, see `run_gateway`."""

from wasabicross.runtime.early_signals import handle_early_signals


def main() -> None:
    """Run a gateway; no signal ends it in any other way than in order."""
    handle_early_signals()
    # The import takes most of the time until the gateway runs.
    from wasabicross.programs.run_gateway import main as run  # noqa: WPS433

    run()


if __name__ == '__main__':
    main()
