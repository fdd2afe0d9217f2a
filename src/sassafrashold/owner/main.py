"""The binary sassafras-owner."""

from sassafrashold import process
from sassafrashold.owner import _daemon
from sassafrashold.owner import _settings

main = process.command("owner", _settings.OwnerSettings, _daemon.run)

if __name__ == "__main__":
    main()
