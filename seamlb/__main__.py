"""python -m seamlb"""

from seamlb.cli import main

main(prog_name="seamlb")
