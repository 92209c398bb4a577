function __fish_eelgrasswell_using_command
    set -l cmd (commandline -xpc)
    set -e cmd[1]
    set -l target_cmd $argv

    set -l known_value_flags 'credential' 'expected' 'router' 'submission' 'wait-s' 

    set -l i 1
    set -l cleaned_cmd
    while test $i -le (count $cmd)
        set -l arg $cmd[$i]
        if string match -q -- "-*" $arg
            set -l pure_flag (string replace -r '^--?' '' -- $arg)
            if contains -- $pure_flag $known_value_flags
                set -l next_i (math $i + 1)
                if test $next_i -le (count $cmd)
                    if not string match -q -- "-*" $cmd[$next_i]
                        set i $next_i
                    end
                end
            end
        else
            set -a cleaned_cmd $arg
        end
        set i (math $i + 1)
    end

    set -l count_cleaned (count $cleaned_cmd)
    set -l count_target (count $target_cmd)
    
    if test $count_cleaned -ne $count_target
        return 1
    end
    
    for i in (seq $count_target)
        if test $cleaned_cmd[$i] != $target_cmd[$i]
            return 1
        end
    end
    
    return 0
end

complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -l router -r -d 'operators\' address of a router, ip:port (environment: EELGRASSWELL_ROUTER)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -l credential -r -d 'file with the operators\' credential (environment: EELGRASSWELL_CREDENTIAL)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -l json -d 'print JSON instead of tables'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'check' -d 'Check a manifest without a router and print every problem.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'diff' -d 'Print what submitting a manifest would change.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'submit' -d 'Apply a manifest and wait until it is in force on all hosts.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'show' -d 'Print the manifest in force, as YAML that can be edited and submitted again.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'status' -d 'Print the state of the system as a router knows it.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'rollout' -d 'List rollouts, or start, step, stop or finish one.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'domain' -d 'Take a failure domain out of service, or put it back in service.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'drain' -d 'Drain a host, so that it receives no new work and can be stopped.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'bill' -d 'Print what a customer is billed.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'explain' -d 'Explain the outcome of a request from the logs of gateways.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command' -f -a 'completions' -d 'Print completions for a shell.'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command check' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command diff' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command submit' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command submit' -l expected -r -d 'manifest revision that the file is based on (default: the revision in force)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command submit' -l submission -r -d 'submission id of an earlier run, to retry it after a lost response'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command submit' -l wait-s -r -d 'seconds to wait for all hosts (default 30; 0 does not wait)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command show' -f -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command status' -f -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command rollout' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command rollout' -l submission -r -d 'submission id of an earlier run, to retry it after a lost response'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command rollout' -l wait-s -r -d 'seconds to wait for all hosts (default 30; 0 does not wait)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command domain' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command domain' -l submission -r -d 'submission id of an earlier run, to retry it after a lost response'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command domain' -l wait-s -r -d 'seconds to wait for all hosts (default 30; 0 does not wait)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command drain' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command drain' -l submission -r -d 'submission id of an earlier run, to retry it after a lost response'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command drain' -l wait-s -r -d 'seconds to wait for all hosts (default 30; 0 does not wait)'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command bill' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command bill' -l requests -d 'print each request instead of sums'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command explain' -l help -d 'display usage information'
complete -c eelgrasswell -n '__fish_eelgrasswell_using_command completions' -l help -d 'display usage information'
