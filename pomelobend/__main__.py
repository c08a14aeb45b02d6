"""Run the command line as ``python -m pomelobend``."""

from pomelobend.cmd import main

if __name__ == '__main__':
    main.main()
