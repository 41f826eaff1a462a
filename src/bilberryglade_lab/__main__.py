"""Command line of the lab: `python -m bilberryglade_lab`."""

from bilberryglade_lab import demo_program, programs

REGISTERED = (demo_program,)

if __name__ == '__main__':
    programs.main()
