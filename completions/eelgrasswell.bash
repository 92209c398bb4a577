_eelgrasswell() {
    local i cur prev opts cmds
    COMPREPLY=()
    cur="${COMP_WORDS[COMP_CWORD]}"
    if [[ $COMP_CWORD -ge 1 ]]; then
        prev="${COMP_WORDS[COMP_CWORD-1]}"
    else
        prev=""
    fi
    cmd=""
    opts=""

    for i in ${COMP_WORDS[@]}; do
        case "${i}" in
            eelgrasswell | */eelgrasswell)
                cmd="eelgrasswell"
                ;;
            check)
                cmd="eelgrasswell_check"
                ;;
            diff)
                cmd="eelgrasswell_diff"
                ;;
            submit)
                cmd="eelgrasswell_submit"
                ;;
            show)
                cmd="eelgrasswell_show"
                ;;
            status)
                cmd="eelgrasswell_status"
                ;;
            rollout)
                cmd="eelgrasswell_rollout"
                ;;
            domain)
                cmd="eelgrasswell_domain"
                ;;
            drain)
                cmd="eelgrasswell_drain"
                ;;
            bill)
                cmd="eelgrasswell_bill"
                ;;
            explain)
                cmd="eelgrasswell_explain"
                ;;
            completions)
                cmd="eelgrasswell_completions"
                ;;
        esac
    done

    case "${cmd}" in
        eelgrasswell)
            opts="--help --router --credential --json"
            cmds="check diff submit show status rollout domain drain bill explain completions"
            case "${prev}" in
                --router)
                    COMPREPLY=()
                    return 0
                    ;;
                --credential)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_check)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_diff)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_submit)
            opts="--help --expected --submission --wait-s"
            case "${prev}" in
                --expected)
                    COMPREPLY=()
                    return 0
                    ;;
                --submission)
                    COMPREPLY=()
                    return 0
                    ;;
                --wait-s)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_show)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_status)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_rollout)
            opts="--help --submission --wait-s"
            case "${prev}" in
                --submission)
                    COMPREPLY=()
                    return 0
                    ;;
                --wait-s)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_domain)
            opts="--help --submission --wait-s"
            case "${prev}" in
                --submission)
                    COMPREPLY=()
                    return 0
                    ;;
                --wait-s)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_drain)
            opts="--help --submission --wait-s"
            case "${prev}" in
                --submission)
                    COMPREPLY=()
                    return 0
                    ;;
                --wait-s)
                    COMPREPLY=()
                    return 0
                    ;;
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_bill)
            opts="--help --requests"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_explain)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
        eelgrasswell_completions)
            opts="--help"
            case "${prev}" in
                *)
                    COMPREPLY=( $(compgen -W "${opts} ${cmds}" -- "${cur}") )
                    return 0
                    ;;
            esac
            ;;
    esac
}

complete -F _eelgrasswell -o bashdefault -o default eelgrasswell
