# Bash completion for flamingobarrow: source this file.
_flamingobarrow() {
  local word=${COMP_WORDS[COMP_CWORD]} subcommand=${COMP_WORDS[1]:-}
  if [ "$COMP_CWORD" = 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "keygen apply drain submit cancel check diff status job explain runs metrics events --daemon --key --format --wait --margin --help" -- "$word")
  elif [[ $word == --* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "--daemon --key --format --wait --margin" -- "$word")
  elif [[ $subcommand == apply || $subcommand == check || $subcommand == diff || $subcommand == keygen || $subcommand == runs ]]; then
    mapfile -t COMPREPLY < <(compgen -f -- "$word")
  fi
}
complete -F _flamingobarrow flamingobarrow
